/**
Counts the nodes that have a version in force: this node and those that poll it, each with the nodes below it. Counts are sent upstream with the polls, so that no node has to query all others.
*/
import {pollTimeoutMs, pollWaitMs, type InForceCount} from './config-protocol.js';
import type {Revision} from './ids.js';
import type {Clock} from './services.js';

// Lifetimes of a report. They are bounded because a node that has switched to another upstream must not be counted twice for long: by then its poll here has timed out.
const pendingReportTtlMs = pollTimeoutMs;
const answeredReportTtlMs = pollTimeoutMs - pollWaitMs;
const maxRows = 8;

type Report = {readonly counts: readonly InForceCount[]; readonly until: number};

const mergeCounts = (counts: readonly InForceCount[]): InForceCount[] => {
	const sums = counts.reduce((sum, {version, nodes}) => sum.set(version, (sum.get(version) ?? 0) + nodes), new Map<Revision, number>());
	return [...sums].map(([version, nodes]) => ({version, nodes})).toSorted((a, b) => b.version - a.version);
};

/** Returns the number of nodes with at least this version in force, and of all nodes counted. */
export const countInForce = (counts: readonly InForceCount[], version: Revision): {nodesInForce: number; nodesCounted: number} => ({
	nodesInForce: counts.filter(row => row.version >= version).reduce((sum, row) => sum + row.nodes, 0),
	nodesCounted: counts.reduce((sum, row) => sum + row.nodes, 0),
});

/** The counts of one node and the nodes below it. */
export class ConfigCounts {
	readonly #reports = new Map<string, Report>();
	readonly #clock: Clock;
	readonly #own: () => Revision;

	/** @param own - The newest change in force at this node. */
	constructor(clock: Clock, own: () => Revision) {
		this.#clock = clock;
		this.#own = own;
	}

	/** Records the counts that a polling node reports for itself and the nodes below it. */
	recordCounts(node: string, counts: readonly InForceCount[]): void {
		this.#reports.set(node, {counts, until: this.#clock.now() + pendingReportTtlMs});
	}

	/** Shortens the lifetime of a node's report once its poll is answered: the node polls again at once, here or at another upstream. */
	markAnswered(node: string): void {
		const report = this.#reports.get(node);
		if (report) {
			this.#reports.set(node, {...report, until: this.#clock.now() + answeredReportTtlMs});
		}
	}

	/** This node and all below it, the newest version first. */
	rows(): readonly InForceCount[] {
		const now = this.#clock.now();
		[...this.#reports].filter(([, {until}]) => until < now).forEach(([node]) => {
			this.#reports.delete(node);
		});
		const all = mergeCounts([{version: this.#own(), nodes: 1}, ...[...this.#reports.values()].flatMap(({counts}) => counts)]);
		// Rows beyond the maximum are counted at the oldest version: the number of nodes in force may be underestimated, but not overestimated.
		const rest = all.slice(maxRows - 1).map(({nodes}) => ({version: all.at(-1)!.version, nodes}));
		return all.length <= maxRows ? all : [...all.slice(0, maxRows - 1), ...mergeCounts(rest)];
	}
}
