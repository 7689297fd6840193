/**
Who gets the configuration from whom. In each failure domain the entries are ranked by rendezvous hash: the first few watch the object API, and each other one asks the entry above it in a tree with a small fan-out. Agents ask an entry of their domain.

Of two entries the same one ranks higher in everybody's eyes, whichever other VMs their lagging lists show. A node asks only nodes that rank higher than it, or watchers, so no ring can form in which nodes wait for each other.
*/
import type {VmEntry} from './types.js';
import {rankMembers} from './rendezvous.js';

/** A node's place. */
export type ConfigPosition = {
	/** Whether it watches the object API itself. */
	readonly isWatcher: boolean;
	/** `ip:port` of the nodes to ask, the best first. */
	readonly upstreams: readonly string[];
};

/** Entries of a failure domain that watch: one can be lost, or lose the object API, without the domain losing it. */
const watchersPerDomain = 2;

/** Entries that ask one entry; keeps its share of control traffic bounded at any size. */
const fanOut = 8;

/** Other nodes worth trying after the first one; more would only lengthen the round. */
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
The place of an entry.

@param entries - The live entry VMs. One that is not among them watches: the list lags, and the object API is always a right source.
*/
export const positionOfEntry = (entries: readonly VmEntry[], self: string): ConfigPosition => {
	const domain = entries.find(({name}) => name === self)?.failureDomain;
	const watchers = rankMembers(self, configWatchers(entries));
	const ranked = domain === undefined ? [] : rankedIn(entries, domain);
	const rank = ranked.indexOf(self);
	if (rank < watchersPerDomain) {
		// Another watcher, so that a watch gone silent delays nothing.
		return {isWatcher: true, upstreams: addressesOf(entries, watchers, self)};
	}

	const parent = ranked[Math.floor((rank - watchersPerDomain) / fanOut)]!;
	const own = ranked.slice(0, watchersPerDomain);
	const far = watchers.filter(watcher => !own.includes(watcher));
	// A far one comes second: when the links to the whole own failure domain are silent, trying its nodes one after another would take too long.
	return {isWatcher: false, upstreams: addressesOf(entries, [parent, ...far.slice(0, 1), ...own, ...far.slice(1)], self)};
};

/**
The entries that an agent asks: those of its own failure domain first, spread evenly over the agents.

@param entries - The live entry VMs.
*/
export const upstreamsOfAgent = (entries: readonly VmEntry[], self: string, domain: string): readonly string[] => {
	const near = entries.filter(({failureDomain}) => failureDomain === domain);
	const far = entries.filter(({failureDomain}) => failureDomain !== domain);
	// The first half of the round is near, the rest far: the domain's entries may all be cut off.
	const names = [...rankMembers(self, namesOf(near)).slice(0, maxUpstreams / 2), ...rankMembers(self, namesOf(far))];
	return addressesOf(entries, names, self);
};
