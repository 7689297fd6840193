/**
The origins of the fleet's resumable streams: announced by the front that sends a stream, kept by a few of its peers, and looked up by the front that resumes it.
*/
import type {
	Clock, Disposable, EventLog, Metrics,
} from '../../common/services.js';
import type {DatagramChannel} from '../../io/datagram-channel.js';
import type {RpcClient} from '../../io/rpc-client.js';
import type {GatewayServiceName, MemberName, SoftwareVersion} from '../types.js';
import {
	OriginAnnouncer, originsKeptMethod, type Announcement, type OriginsKept, type OriginsMessage,
} from './origin-announcer.js';
import {copies, type OriginHolders} from './origin-holders.js';
import {OriginStore} from './origin-store.js';
import type {AnnouncedOrigin, StreamKey, StreamOrigin} from './stream-origin.js';
import type {ServedVersions, VersionHistory} from './version-history.js';

/** The name of the method in calls between processes. */
export const findOriginMethod = 'gateway.findOrigin';

/** A query about a stream that is to be resumed. */
export type OriginQuery = {
	/** Missing if the caller did not name the stream. */
	readonly key?: StreamKey;
	/** The services at which the stream may have begun. */
	readonly services: readonly GatewayServiceName[];
	/** The stream began at most this many milliseconds ago. */
	readonly periodMs: number;
};

/** What a peer knows about the stream. */
export type OriginAnswer = {
	readonly origin?: StreamOrigin;
	/** The versions that may have begun it. */
	readonly served?: ServedVersions;
};

/** The outcome of a search. `inferred`: the origin is not known, but only one version can have begun the stream. */
export type FoundOrigin
	= | {readonly kind: 'own' | 'peer'; readonly origin: StreamOrigin}
		| {readonly kind: 'inferred'; readonly softwareVersion: SoftwareVersion}
		| {readonly kind: 'unknown'};

/** Dependencies of the origins. */
export type StreamOriginsParts = {
	readonly channel: Pick<DatagramChannel, 'address' | 'send'>;
	readonly rpc: Pick<RpcClient, 'call'>;
	readonly holders: OriginHolders;
	readonly history: Pick<VersionHistory, 'confirmedWithin'>;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** A peer that does not answer within this time, in milliseconds, is ignored: the caller is waiting for the next event of its stream. It is longer than a peer waits for its own read. */
const askTimeoutMs = 300;

/** The maximum number of origins whose holders are recorded; those of the oldest are dropped first. */
const maxPlaced = 5000;

/** See the module's head. */
export class StreamOrigins implements Disposable {
	readonly #parts: StreamOriginsParts;
	readonly #store: OriginStore;
	readonly #announcer: OriginAnnouncer;
	/** The peers to which this process has announced each origin. */
	readonly #placed = new Map<StreamKey, readonly MemberName[]>();

	constructor(parts: StreamOriginsParts) {
		this.#parts = parts;
		this.#store = new OriginStore(parts.clock);
		this.#announcer = new OriginAnnouncer(parts);
		parts.holders.onChange(lost => {
			this.#replaceHolders(lost);
		});
	}

	/** Number of origins that this process keeps. */
	get size(): number {
		return this.#store.size;
	}

	/** Keeps an origin, here and at peers. */
	announce(origin: AnnouncedOrigin): Announcement {
		this.#store.put(origin);
		this.#notePlaced(origin.key);
		return this.#announcer.announce(origin);
	}

	/**
	Finds the version that a stream began at.

	@param spreadKey - Selects the peers that are asked about a stream without a key.
	*/
	async find(query: OriginQuery, spreadKey: string): Promise<FoundOrigin> {
		const own = query.key && this.#store.get(query.key);
		const found = own ? {kind: 'own', origin: own} as const : await this.#search(query, spreadKey);
		this.#parts.metrics.count('gateway.originSearches', 1, {outcome: found.kind});
		return found;
	}

	/** Keeps the origins that a peer has announced. */
	receive({from, seq, origins}: OriginsMessage): void {
		origins.forEach(origin => {
			this.#store.put(origin);
		});
		const kept: OriginsKept = {seq};
		this.#parts.channel.send([from], originsKeptMethod, kept);
	}

	/** Handles a peer's confirmation. */
	receiveKept(kept: OriginsKept): void {
		this.#announcer.receiveKept(kept);
	}

	/** Answers a peer's query. */
	async answer(query: OriginQuery): Promise<OriginAnswer> {
		const origin = query.key && this.#store.get(query.key);
		return origin ? {origin} : {served: await this.#ownView(query)};
	}

	/** Passes all origins on to other peers, for a shutdown. */
	handOver(): void {
		this.#store.all.forEach(origin => {
			this.#announcer.announce(origin);
		});
	}

	dispose(): void {
		this.#announcer.dispose();
	}

	#notePlaced(key: StreamKey) {
		this.#placed.delete(key);
		this.#placed.set(key, this.#parts.holders.of(key).map(({state}) => state.member));
		if (this.#placed.size > maxPlaced) {
			this.#placed.delete(this.#placed.keys().next().value!);
		}
	}

	/** Announces again the origins that too few peers keep: a holder has left or restarted, or this process had not discovered its peers yet. */
	#replaceHolders(lost: ReadonlySet<MemberName>) {
		const affected = [...this.#placed].filter(([, names]) => names.length < copies || names.some(name => lost.has(name))).map(([key]) => key);
		affected.forEach(key => {
			this.#placed.delete(key);
		});
		affected.flatMap(key => this.#store.announced(key) ?? []).forEach(origin => {
			this.announce(origin);
		});
	}

	async #search(query: OriginQuery, spreadKey: string): Promise<FoundOrigin> {
		const {key} = query;
		const viewWithoutKey = key === undefined ? await this.#ownView(query) : undefined;
		const inferred = viewWithoutKey && soleVersion([viewWithoutKey]);
		if (inferred !== undefined) {
			return {kind: 'inferred', softwareVersion: inferred};
		}

		const asked = this.#parts.holders.toAsk(key ?? spreadKey as StreamKey).map(async ({state: {rpcAddress}}) => this.#ask(rpcAddress, query));
		const origin = await firstOrigin(asked);
		if (origin) {
			return {kind: 'peer', origin};
		}

		const answers = await Promise.all(asked);
		const ownView = viewWithoutKey ?? await this.#ownView(query);
		const softwareVersion = soleVersion([ownView, ...answers.flatMap(({served}) => served ?? [])]);
		return softwareVersion === undefined ? {kind: 'unknown'} : {kind: 'inferred', softwareVersion};
	}

	async #ownView({services, periodMs}: OriginQuery): Promise<ServedVersions> {
		return this.#parts.history.confirmedWithin(services, periodMs);
	}

	async #ask(address: string, query: OriginQuery): Promise<OriginAnswer> {
		const answered = await this.#parts.rpc.call<OriginAnswer>({address, timeoutMs: askTimeoutMs}, findOriginMethod, query);
		return answered.orDefault({});
	}
}

/** @returns The version that all views agree on, if one of them is complete and was confirmed since the search began. */
const soleVersion = (views: readonly ServedVersions[]): SoftwareVersion | undefined => {
	const versions = new Set(views.flatMap(({versions}) => versions));
	return versions.size === 1 && views.some(({isComplete}) => isComplete) ? [...versions][0] : undefined;
};

/** @returns The first origin in the answers, as soon as it has arrived. */
const firstOrigin = async (asked: ReadonlyArray<Promise<OriginAnswer>>): Promise<StreamOrigin | undefined> => {
	const known = asked.map(async answer => {
		const {origin} = await answer;
		return origin ?? Promise.reject(new Error('the peer does not know the stream'));
	});
	try {
		return await Promise.any(known);
	} catch {
		return undefined;
	}
};
