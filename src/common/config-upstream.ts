/**
Determines which node receives the configuration from which. In each failure domain the entries are ranked by rendezvous hash: the first few watch the object API, and each other one polls the entry above it in a tree with a small fan-out. Agents poll an entry of their domain.

Of two entries, the same one ranks higher at every node, whichever other VMs their lagging lists contain. A node polls only nodes that rank higher, or watchers, so no cycle can form in which nodes wait for each other.
*/
import type {VmEntry} from './types.js';
import {rankMembers} from './rendezvous.js';

/** A node's position in the distribution tree. */
export type ConfigPosition = {
	/** Whether it watches the object API itself. */
	readonly isWatcher: boolean;
	/** `ip:port` of the nodes to poll, the best first. */
	readonly upstreams: readonly string[];
};

/** Entries of a failure domain that watch the object API: one can be lost, or lose its connection, without disconnecting the domain. */
const watchersPerDomain = 2;

/** Entries that poll one entry; bounds its control traffic at any size of the fleet. */
const fanOut = 8;

/** Upstreams tried in one round; more would only lengthen the round. */
const maxUpstreams = 8;

const namesOf = (vms: readonly VmEntry[]) => vms.map(({name}) => name);

const rankedIn = (entries: readonly VmEntry[], domain: string): string[] => rankMembers(`config|${domain}`, namesOf(entries.filter(({failureDomain}) => failureDomain === domain)));

/** The names of all entries that watch the object API. */
export const configWatchers = (entries: readonly VmEntry[]): string[] => {
	const domains = [...new Set(entries.map(({failureDomain}) => failureDomain))];
	return domains.flatMap(domain => rankedIn(entries, domain).slice(0, watchersPerDomain));
};

const addressesOf = (entries: readonly VmEntry[], names: readonly string[], self: string): string[] => {
	const byName = new Map<string, string>(entries.map(({name, address}) => [name, address]));
	return [...new Set(names)].filter(name => name !== self).map(name => byName.get(name)!).slice(0, maxUpstreams);
};

/**
Returns the position of an entry.

@param entries - The live entry VMs. An entry that is not among them watches: the list lags, and the object API is always a valid source.
*/
export const positionOfEntry = (entries: readonly VmEntry[], self: string): ConfigPosition => {
	const domain = entries.find(({name}) => name === self)?.failureDomain;
	const watchers = rankMembers(self, configWatchers(entries));
	const ranked = domain === undefined ? [] : rankedIn(entries, domain);
	const rank = ranked.indexOf(self);
	if (rank < watchersPerDomain) {
		// The other watchers are upstreams, so that an unresponsive watch causes no delay.
		return {isWatcher: true, upstreams: addressesOf(entries, watchers, self)};
	}

	const parent = ranked[Math.floor((rank - watchersPerDomain) / fanOut)]!;
	const own = ranked.slice(0, watchersPerDomain);
	const remote = watchers.filter(watcher => !own.includes(watcher));
	// A watcher of another failure domain comes second: when the links to all nodes of the own domain are unresponsive, trying these nodes one after another would take too long.
	return {isWatcher: false, upstreams: addressesOf(entries, [parent, ...remote.slice(0, 1), ...own, ...remote.slice(1)], self)};
};

/**
Returns the entries that an agent polls: those of its own failure domain first, distributed evenly over the agents.

@param entries - The live entry VMs.
*/
export const upstreamsOfAgent = (entries: readonly VmEntry[], self: string, domain: string): readonly string[] => {
	const local = entries.filter(({failureDomain}) => failureDomain === domain);
	const remote = entries.filter(({failureDomain}) => failureDomain !== domain);
	// The first half of the round is in the own failure domain, the rest in others: the domain's entries may all be disconnected.
	const names = [...rankMembers(self, namesOf(local)).slice(0, maxUpstreams / 2), ...rankMembers(self, namesOf(remote))];
	return addressesOf(entries, names, self);
};
