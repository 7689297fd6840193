/**
Simulates where the origins of streams are kept, for fleets of hundreds of processes: streams begin at random processes, some processes fail, and each stream is resumed at another process. Compares it with a version that is derived from the stream's id.
*/
import {Buffer} from 'node:buffer';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {branded} from '../../common/ids.js';
import {rankMembers} from '../../common/rendezvous.js';
import type {RandomSource} from '../../common/services.js';
import type {Peer} from '../peers/peer-table.js';
import {OriginHolders} from '../streams/origin-holders.js';
import {OriginStore} from '../streams/origin-store.js';
import {originsKeptMethod, originsMethod, type OriginsMessage} from '../streams/origin-announcer.js';
import type {AnnouncedOrigin, StreamKey} from '../streams/stream-origin.js';
import type {GatewayServiceName, MemberName, SoftwareVersion} from '../types.js';

/** The simulated fleet and what happens to it. */
export type OriginScenario = {
	readonly processes: number;
	readonly streams: number;
	/** How many of the processes that keep a stream's origin have failed when it is resumed, besides the one that sent it. */
	readonly lostHolders: number;
	/** Share of all processes that have failed when the streams are resumed. */
	readonly failedShare: number;
	/** Share of the processes that a view lacks, drawn for each process. */
	readonly missingShare: number;
	readonly random: RandomSource;
};

/** The result of a simulation. */
export type OriginOutcome = {
	/** Share of the streams whose origin is found. */
	readonly foundShare: number;
	/** Datagrams sent per stream, and their bytes with the headers of UDP and IP, by all processes. */
	readonly messagesPerStream: number;
	readonly bytesPerStream: number;
	/** The largest number of origins at one process, relative to the mean. */
	readonly imbalance: number;
};

/** Bytes of the headers of UDP and IP. */
const headerBytes = 28;

const sizeOf = (method: string, params: Record<string, unknown>): number => Buffer.byteLength(JSON.stringify(createJSONRPCNotification(method, params))) + headerBytes;

const clock = {now: () => 0};

const peerOf = (name: string): Peer => ({
	state: {
		member: branded<MemberName>(name), address: name, rpcAddress: name, reachesObjectApi: true, keepsOrigins: true, startedAt: 0, seq: 1, isLeaving: false, loads: [], jobs: [],
	},
	lastSeenAt: 0,
	jobs: new Set(),
});

/** A process with its view of the others. */
class ModelProcess {
	readonly name: string;
	readonly store = new OriginStore(clock);
	readonly holders: OriginHolders;

	constructor(name: string, view: readonly Peer[]) {
		this.name = name;
		this.holders = new OriginHolders({live: view, onMembership: () => undefined});
	}
}

const originOf = (key: StreamKey): AnnouncedOrigin => ({
	key, service: branded<GatewayServiceName>('modelos'), softwareVersion: branded<SoftwareVersion>('v1.2'), run: 1, keepMs: 10_000,
});

const keyOf = (random: RandomSource): StreamKey => Math.floor(random.next() * (2 ** 48)).toString(16).padStart(16, '0') as StreamKey;

/** Runs a simulation. */
export const simulateOrigins = ({processes, streams, lostHolders, failedShare, missingShare, random}: OriginScenario): OriginOutcome => {
	const peers = Array.from({length: processes}, (_, i) => peerOf(`front-${i}`));
	const all = peers.map(self => new ModelProcess(self.state.member, peers.filter(peer => peer !== self && random.next() >= missingShare)));
	const byName = new Map(all.map(process => [process.name, process]));
	const failed = new Set(all.filter(() => random.next() < failedShare).map(({name}) => name));
	const draw = (some: readonly ModelProcess[]) => some[Math.floor(random.next() * some.length)]!;
	let found = 0;
	let messages = 0;
	let bytes = 0;
	for (let i = 0; i < streams; i += 1) {
		const key = keyOf(random);
		const sender = draw(all);
		const keepers = sender.holders.of(key).map(({state}) => byName.get(state.member)!);
		const message: OriginsMessage = {from: '10.128.0.9:41000', seq: 1_790_000_000_000 + i, origins: [originOf(key)]};
		keepers.forEach(({store}) => {
			store.put(originOf(key));
		});
		messages += 2 * keepers.length;
		bytes += keepers.length * (sizeOf(originsMethod, message) + sizeOf(originsKeptMethod, {seq: message.seq}));
		const lost = new Set([...failed, sender.name, ...keepers.slice(0, lostHolders).map(({name}) => name)]);
		const resumer = draw(all.filter(({name}) => !lost.has(name)));
		const asked = [resumer, ...resumer.holders.toAsk(key).map(({state}) => byName.get(state.member)!)].filter(({name}) => !lost.has(name));
		found += asked.some(({store}) => store.get(key) !== undefined) ? 1 : 0;
	}

	const sizes = all.map(({store}) => store.size);
	return {
		foundShare: found / streams, messagesPerStream: messages / streams, bytesPerStream: bytes / streams, imbalance: Math.max(...sizes) * processes / sizes.reduce((sum, size) => sum + size, 0),
	};
};

/** The version that is derived from a stream's id: that of the replica which ranks first for it. */
const versionFromId = (key: StreamKey, versions: ReadonlyMap<string, string>): string => versions.get(rankMembers(key, [...versions.keys()])[0]!)!;

/**
Share of the streams that start and are resumed at different versions, if the version is derived from the id, while a rollout replaces replicas.

@param replaced - Number of replicas that are replaced by ones of another version between the two.
*/
export const simulateVersionFromId = ({replicas, replaced, streams, random}: {replicas: number; replaced: number; streams: number; random: RandomSource}): number => {
	const before = new Map(Array.from({length: replicas}, (_, i) => [`r${i}`, i < replicas / 2 ? 'v1' : 'v2']));
	const after = new Map([...before].slice(replaced));
	Array.from({length: replaced}, (_, i) => after.set(`new${i}`, 'v2'));
	const keys = Array.from({length: streams}, () => keyOf(random));
	return keys.filter(key => versionFromId(key, before) !== versionFromId(key, after)).length / streams;
};
