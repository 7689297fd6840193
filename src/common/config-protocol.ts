/**
The messages by which the configuration goes from node to node: a long poll `config.changes` to a node further up, which answers with what the asker lacks. The same poll carries the counts of nodes up.
*/
import type {ConfigChanges, ConfigScope} from './config-table.js';
import type {Revision} from './ids.js';

/** How many nodes have everything up to a version in force. */
export type InForceCount = {
	readonly version: Revision;
	readonly nodes: number;
};

/** What a node says when it asks. */
export type ConfigPoll = {
	/** The asker's VM. */
	readonly node: string;
	/** The asker's revision. */
	readonly since: Revision;
	/** How long the answer may wait for a change, in milliseconds. */
	readonly waitMs: number;
	readonly scope?: ConfigScope;
	/** The asker and the nodes below it. Left out when somebody else counts the asker. */
	readonly counts?: readonly InForceCount[];
	/** True asks for the digest of the whole table, to compare two nodes. */
	readonly wantsDigest?: boolean;
};

/** The answer: changes, and how good their source is. */
export type ConfigAnswer = ConfigChanges & {
	/** False: the node has no configuration it trusts, and the changes are empty. */
	readonly isReady: boolean;
	/** False: the node hears nobody further up, so it may be behind; others may know more. */
	readonly isConnected: boolean;
	readonly digest?: string;
};

/** Milliseconds that an answer waits for a change. An asker hears something this often, so a connection gone silent is found soon enough to ask elsewhere within 3 s. */
export const pollWaitMs = 1000;

/** Milliseconds after which a poll that was to wait `pollWaitMs` is taken for silent. */
export const pollTimeoutMs = 1500;
