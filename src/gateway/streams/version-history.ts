/**
The software versions that have served each service within a period, as far as this process can know: the version of a stream whose origin is unknown is inferred from them if there is only one.

The history is complete only if the registrations were followed without a gap for the whole period, and confirmed since the question came up: a process that has just started infers nothing, and neither does one that may have missed the arrival of a version. Streams begin at new replicas through other processes a moment after these have registered, so no age of a confirmation is short enough.
*/
import type {Clock} from '../../common/services.js';
import type {ObjectFeed} from '../object-feed.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {GatewayServiceName, SoftwareVersion} from '../types.js';

/** The versions that have served the services of a route within a period. */
export type ServedVersions = {
	readonly versions: readonly SoftwareVersion[];
	/** Whether no other version can have served them. */
	readonly isComplete: boolean;
};

/** Dependencies of the history. */
export type VersionHistoryParts = {
	readonly directory: ReplicaDirectory;
	readonly feed: Pick<ObjectFeed, 'currentAsOf' | 'onAnswer' | 'onSnapshot' | 'syncOnNewConnection'>;
	/** When the registrations were last confirmed to be current, here or by a peer, in milliseconds on the monotonic clock. */
	readonly confirmedAt: () => number;
	/** A list of the registrations within this time of a confirmation leaves no gap, in milliseconds. */
	readonly maxAgeMs: number;
	readonly clock: Pick<Clock, 'now' | 'sleep'>;
};

/** Reads of the registrations begin no closer together than this, in milliseconds, however many streams of unknown origin are resumed. */
const readEveryMs = 50;

/** A read that takes longer than this, in milliseconds, is not waited for: the caller is waiting for the next event of its stream. */
const readTimeoutMs = 250;

/** See the module's head. */
export class VersionHistory {
	readonly #parts: VersionHistoryParts;
	/** When each version last left a service, in milliseconds on the monotonic clock. */
	readonly #leftAt = new Map<GatewayServiceName, Map<SoftwareVersion, number>>();
	/** Time since which no registration can have been missed, in milliseconds on the monotonic clock. */
	#followedSince: number | undefined;
	#confirmedBefore = -Infinity;
	#readAt = -Infinity;
	/** The read that has not begun yet, which all share who ask until then. */
	#nextRead: Promise<void> | undefined;

	constructor(parts: VersionHistoryParts) {
		this.#parts = parts;
		parts.directory.onChange(({replica: {record}, change}) => {
			if (change === 'left' || change === 'restarted') {
				this.#noteLeft(record.service, record.softwareVersion);
			}
		});
		parts.feed.onAnswer(() => {
			this.#confirmedBefore = parts.confirmedAt();
		});
		parts.feed.onSnapshot(() => {
			this.#noteSnapshot();
		});
	}

	/** The largest number of versions that serve one service now. */
	get versionCount(): number {
		const services = new Set([...this.#parts.directory.all].map(({record}) => record.service));
		return Math.max(0, ...[...services].map(service => this.#presentVersions(service).size));
	}

	/** Reads the registrations after this call, and returns what they and the history tell; see {@link within}. */
	async confirmedWithin(services: readonly GatewayServiceName[], periodMs: number): Promise<ServedVersions> {
		const {clock} = this.#parts;
		const askedAt = clock.now();
		this.#nextRead ??= this.#readSoon();
		await Promise.race([this.#nextRead, clock.sleep(readTimeoutMs)]);
		return this.within(services, periodMs, askedAt);
	}

	/**
	@param services - The services of one route.
	@param periodMs - Milliseconds up to now.
	@param askedAt - The registrations must have been confirmed since, in milliseconds on the monotonic clock.
	*/
	within(services: readonly GatewayServiceName[], periodMs: number, askedAt: number): ServedVersions {
		const now = this.#parts.clock.now();
		const since = now - periodMs;
		const past = services.flatMap(service => [...this.#leftAt.get(service) ?? []].filter(([, at]) => at >= since).map(([version]) => version));
		const versions = new Set([...past, ...services.flatMap(service => [...this.#presentVersions(service)])]);
		// A peer's confirmation may have waited to be read while this process stood still.
		const isCurrent = this.#parts.feed.currentAsOf >= askedAt;
		return {versions: [...versions], isComplete: isCurrent && this.#followedSince !== undefined && this.#followedSince <= since};
	}

	async #readSoon() {
		const {clock, feed} = this.#parts;
		await clock.sleep(Math.max(0, this.#readAt + readEveryMs - clock.now()));
		this.#readAt = clock.now();
		this.#nextRead = undefined;
		await feed.syncOnNewConnection();
	}

	#presentVersions(service: GatewayServiceName): ReadonlySet<SoftwareVersion> {
		return new Set([...this.#parts.directory.all].filter(({record}) => record.service === service).map(({record}) => record.softwareVersion));
	}

	#noteLeft(service: GatewayServiceName, version: SoftwareVersion) {
		const left = this.#leftAt.get(service) ?? new Map<SoftwareVersion, number>();
		this.#leftAt.set(service, left.set(version, this.#parts.clock.now()));
	}

	/** Unlike a continuous watch, a list does not show registrations that were added and removed since the last confirmation. */
	#noteSnapshot() {
		const now = this.#parts.clock.now();
		if (this.#followedSince === undefined || now - this.#confirmedBefore > this.#parts.maxAgeMs) {
			this.#followedSince = now;
		}
	}
}
