/**
The messages that distribute the configuration between nodes: a long poll `config.changes` to an upstream node, which answers with the changes that the polling node lacks. The same poll carries the counts of nodes upstream.
*/
import type {ConfigChanges, ConfigScope} from './config-table.js';
import type {Revision} from './ids.js';

/** The number of nodes that have everything up to a version in force. */
export type InForceCount = {
	readonly version: Revision;
	readonly nodes: number;
};

/** A poll of the configuration. */
export type ConfigPoll = {
	/** The VM of the polling node. */
	readonly node: string;
	/** The revision of the polling node. */
	readonly since: Revision;
	/** How long the answer may wait for a change, in milliseconds. */
	readonly waitMs: number;
	readonly scope?: ConfigScope;
	/** Counts of the polling node and the nodes below it. Left out when another node counts it. */
	readonly counts?: readonly InForceCount[];
	/** True requests the digest of the complete table, to compare two nodes. */
	readonly wantsDigest?: boolean;
};

/** The answer to a poll: changes, and the state of their source. */
export type ConfigAnswer = ConfigChanges & {
	/** False when the node has no trusted configuration; the changes are then empty. */
	readonly isReady: boolean;
	/** False when the node has no connection upstream; it may be behind other nodes. */
	readonly isConnected: boolean;
	readonly digest?: string;
};

/** Milliseconds that an answer waits for a change. The polling node receives an answer at least this often, so an unresponsive connection is detected soon enough to switch to another node within 3 s. */
export const pollWaitMs = 1000;

/** Milliseconds after which a poll that waits for `pollWaitMs` times out. */
export const pollTimeoutMs = 1500;
