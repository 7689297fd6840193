/**
Counts the nodes that have a version in force: this node and those that ask it, each with the nodes below. Counts ride up on the polls, so that nobody has to ask every node.
*/
import {pollTimeoutMs, pollWaitMs, type InForceCount} from './config-protocol.js';
import type {Revision} from './ids.js';
import type {Clock} from './services.js';

// A node that asks elsewhere must not be counted twice for long: it has given this one up by then.
const waitingMs = pollTimeoutMs;
const answeredMs = pollTimeoutMs - pollWaitMs;
const maxRows = 8;

type Report = {readonly counts: readonly InForceCount[]; readonly until: number};

const merged = (counts: readonly InForceCount[]): InForceCount[] => {
	const sums = counts.reduce((sum, {version, nodes}) => sum.set(version, (sum.get(version) ?? 0) + nodes), new Map<Revision, number>());
	return [...sums].map(([version, nodes]) => ({version, nodes})).toSorted((a, b) => b.version - a.version);
};

/** Nodes with at least this version in force, and nodes counted at all. */
export const countInForce = (counts: readonly InForceCount[], version: Revision): {nodesInForce: number; nodesCounted: number} => ({
	nodesInForce: counts.filter(row => row.version >= version).reduce((sum, row) => sum + row.nodes, 0),
	nodesCounted: counts.reduce((sum, row) => sum + row.nodes, 0),
});

/** The counts at one node. */
export class ConfigCounts {
	readonly #reports = new Map<string, Report>();
	readonly #clock: Clock;
	readonly #own: () => Revision;

	/** @param own - The newest change in force at this node. */
	constructor(clock: Clock, own: () => Revision) {
		this.#clock = clock;
		this.#own = own;
	}

	/** Takes over what a node that asked says of itself and of those below it. */
	recordCounts(node: string, counts: readonly InForceCount[]): void {
		this.#reports.set(node, {counts, until: this.#clock.now() + waitingMs});
	}

	/** The node was answered: it asks again at once, here or elsewhere. */
	markAnswered(node: string): void {
		const report = this.#reports.get(node);
		if (report) {
			this.#reports.set(node, {...report, until: this.#clock.now() + answeredMs});
		}
	}

	/** This node and all below it, the newest version first. */
	rows(): readonly InForceCount[] {
		const now = this.#clock.now();
		[...this.#reports].filter(([, {until}]) => until < now).forEach(([node]) => {
			this.#reports.delete(node);
		});
		const all = merged([{version: this.#own(), nodes: 1}, ...[...this.#reports.values()].flatMap(({counts}) => counts)]);
		// What does not fit is counted at the oldest version: rather too few in force than too many.
		const rest = all.slice(maxRows - 1).map(({nodes}) => ({version: all.at(-1)!.version, nodes}));
		return all.length <= maxRows ? all : [...all.slice(0, maxRows - 1), ...merged(rest)];
	}
}
