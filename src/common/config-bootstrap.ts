/**
Gets a node's first configuration. One source alone may be far behind without knowing it: a peer that was cut off for an hour answers as readily as any other. So the first configuration comes from the object API, or from two peers that have the same, or from a snapshot that a peer confirms.
*/
import type {Either} from 'purify-ts/Either';
import type {ConfigAnswer, ConfigPoll} from './config-protocol.js';
import {ConfigTable, type ConfigChanges, type ConfigScope} from './config-table.js';
import type {Revision} from './ids.js';
import type {Clock, RandomSource} from './services.js';

/** Asks a node; see {@link ConfigPoll}. */
export type PollNode = (address: string, poll: ConfigPoll) => Promise<Either<unknown, ConfigAnswer>>;

/** What the start needs. */
export type BootstrapParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** This node's VM. */
	readonly node: string;
	readonly scope?: ConfigScope;
	readonly ask: PollNode;
	/** `ip:port` of the peers to ask, the best first. */
	readonly peers: () => readonly string[];
	/** Reads everything from the object API. */
	readonly readApi: () => Promise<Either<unknown, ConfigChanges>>;
	/** True asks the object API first; else it is asked when the peers could not help. */
	readonly prefersApi: () => boolean;
	/** What this node had in force before it was restarted, if it keeps that. */
	readonly snapshot?: ConfigChanges;
};

/** Where the first configuration came from. */
export type ConfigSource = 'objectApi' | 'peers' | 'snapshotAndPeer';

/** The first configuration. */
export type InitialConfig = {readonly changes: ConfigChanges; readonly source: ConfigSource};

type Step = (parts: BootstrapParts) => Promise<InitialConfig | undefined>;

const shortestRetryMs = 200;
const retrySpreadMs = 800;

// What was in force here must not be reverted by a restart. Two peers that agree may both have been cut off since long before the snapshot was written, and an object API may have been set back to a backup.
const isBehind = ({snapshot}: BootstrapParts, revision: Revision): boolean => snapshot !== undefined && revision < snapshot.revision;

const fromApi: Step = async parts => {
	const read = await parts.readApi();
	return read.map((changes): InitialConfig | undefined => isBehind(parts, changes.revision) ? undefined : {changes, source: 'objectApi'}).orDefault(undefined);
};

const askFor = async ({ask, node, scope}: BootstrapParts, peer: string, since: Revision): Promise<ConfigAnswer | undefined> => {
	const answer = await ask(peer, {
		node, since, scope, waitMs: 0, wantsDigest: true,
	});
	return answer.map((got): ConfigAnswer | undefined => got.isReady ? got : undefined).orDefault(undefined);
};

const fromSnapshot: Step = async parts => {
	const {snapshot} = parts;
	if (!snapshot) {
		return undefined;
	}

	for (const peer of parts.peers()) {
		const answer = await askFor(parts, peer, snapshot.revision);
		// A peer that is behind the snapshot proves nothing about it.
		if (answer && answer.revision >= snapshot.revision) {
			const table = new ConfigTable();
			table.apply(snapshot);
			table.apply(answer);
			return {changes: table.changesSince(0 as Revision), source: 'snapshotAndPeer'};
		}
	}

	return undefined;
};

const fromPeers: Step = async parts => {
	const table = new ConfigTable();
	for (const peer of parts.peers()) {
		const isFirst = table.revision === 0;
		const answer = await askFor(parts, peer, table.revision);
		if (answer) {
			// What the table lacks it takes over, so the newest peer sets the mark and an older one can not agree with it.
			table.apply(answer);
		}

		if (answer && !isFirst && answer.digest === table.digest() && !isBehind(parts, table.revision)) {
			return {changes: table.changesSince(0 as Revision), source: 'peers'};
		}
	}

	return undefined;
};

/** Tries all sources over and over. Resolves with nothing once `isDisposed`. */
export const loadInitialConfig = async (parts: BootstrapParts, isDisposed: () => boolean): Promise<InitialConfig | undefined> => {
	while (!isDisposed()) {
		const steps: readonly Step[] = parts.prefersApi() ? [fromApi, fromSnapshot, fromPeers] : [fromSnapshot, fromPeers, fromApi];
		for (const step of steps) {
			const first = await step(parts);
			if (first) {
				return first;
			}
		}

		// Spread out, so that nodes that start together after an outage do not ask together.
		await parts.clock.sleep(shortestRetryMs + (parts.random.next() * retrySpreadMs));
	}

	return undefined;
};
