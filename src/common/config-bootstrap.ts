/**
Loads a node's initial configuration. A single source may be far behind without detecting it: a peer that was disconnected for an hour answers like any other. So the initial configuration is taken from the object API, from two peers with equal configurations, or from a snapshot that a peer confirms.
*/
import type {Either} from 'purify-ts/Either';
import type {ConfigAnswer, ConfigPoll} from './config-protocol.js';
import {ConfigTable, type ConfigChanges, type ConfigScope} from './config-table.js';
import type {Revision} from './ids.js';
import type {Clock, RandomSource} from './services.js';

/** Polls a node; see {@link ConfigPoll}. */
export type PollNode = (address: string, poll: ConfigPoll) => Promise<Either<unknown, ConfigAnswer>>;

/** Dependencies of the bootstrap. */
export type BootstrapParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** This node's VM. */
	readonly node: string;
	readonly scope?: ConfigScope;
	readonly ask: PollNode;
	/** `ip:port` of the peers to poll, the best first. */
	readonly peers: () => readonly string[];
	/** Reads the complete configuration from the object API. */
	readonly readApi: () => Promise<Either<unknown, ConfigChanges>>;
	/** True tries the object API first; otherwise it is tried when the peers could not provide a configuration. */
	readonly prefersApi: () => boolean;
	/** The configuration that this node had in force before it was restarted, if it stores one. */
	readonly snapshot?: ConfigChanges;
};

/** The source of the initial configuration. */
export type ConfigSource = 'objectApi' | 'peers' | 'snapshotAndPeer';

/** The initial configuration with its source. */
export type InitialConfig = {readonly changes: ConfigChanges; readonly source: ConfigSource};

type LoadStep = (parts: BootstrapParts) => Promise<InitialConfig | undefined>;

const minRetryDelayMs = 200;
const retryJitterMs = 800;

// A restart must not revert the configuration. Two peers that agree may both have been disconnected since long before the snapshot was written, and the object API may have been restored from a backup.
const isBehind = ({snapshot}: BootstrapParts, revision: Revision): boolean => snapshot !== undefined && revision < snapshot.revision;

const fromApi: LoadStep = async parts => {
	const read = await parts.readApi();
	return read.map((changes): InitialConfig | undefined => isBehind(parts, changes.revision) ? undefined : {changes, source: 'objectApi'}).orDefault(undefined);
};

const pollPeer = async ({ask, node, scope}: BootstrapParts, peer: string, since: Revision): Promise<ConfigAnswer | undefined> => {
	const answer = await ask(peer, {
		node, since, scope, waitMs: 0, wantsDigest: true,
	});
	return answer.map((received): ConfigAnswer | undefined => received.isReady ? received : undefined).orDefault(undefined);
};

const fromSnapshot: LoadStep = async parts => {
	const {snapshot} = parts;
	if (!snapshot) {
		return undefined;
	}

	for (const peer of parts.peers()) {
		const answer = await pollPeer(parts, peer, snapshot.revision);
		// A peer that is behind the snapshot can not confirm it.
		if (answer && answer.revision >= snapshot.revision) {
			const table = new ConfigTable();
			table.apply(snapshot);
			table.apply(answer);
			return {changes: table.changesSince(0 as Revision), source: 'snapshotAndPeer'};
		}
	}

	return undefined;
};

const fromPeers: LoadStep = async parts => {
	const table = new ConfigTable();
	for (const peer of parts.peers()) {
		const isFirst = table.revision === 0;
		const answer = await pollPeer(parts, peer, table.revision);
		if (answer) {
			// The table applies the changes that it lacks, so it reaches the revision of the newest peer, and the digest of an older one can not match.
			table.apply(answer);
		}

		if (answer && !isFirst && answer.digest === table.digest() && !isBehind(parts, table.revision)) {
			return {changes: table.changesSince(0 as Revision), source: 'peers'};
		}
	}

	return undefined;
};

/** Tries all sources repeatedly until one provides a configuration. Resolves with undefined once `isDisposed` returns true. */
export const loadInitialConfig = async (parts: BootstrapParts, isDisposed: () => boolean): Promise<InitialConfig | undefined> => {
	while (!isDisposed()) {
		const steps: readonly LoadStep[] = parts.prefersApi() ? [fromApi, fromSnapshot, fromPeers] : [fromSnapshot, fromPeers, fromApi];
		for (const step of steps) {
			const initial = await step(parts);
			if (initial) {
				return initial;
			}
		}

		// Random delay, so that nodes that start together after an outage do not retry together.
		await parts.clock.sleep(minRetryDelayMs + (parts.random.next() * retryJitterMs));
	}

	return undefined;
};
