/**
The software versions that have served each service within a period, as far as this process can know: the version of a stream whose origin is unknown is inferred from them if there is only one.

The history is complete only if the registrations were followed without a gap for the whole period, and current only if they were confirmed a moment ago: a process that has just started, or that is partitioned, infers nothing.
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
	readonly feed: Pick<ObjectFeed, 'onAnswer' | 'onSnapshot'>;
	/** When the registrations were last confirmed to be current, here or by a peer, in milliseconds on the monotonic clock. */
	readonly confirmedAt: () => number;
	/** Registrations that were confirmed within this time are current, in milliseconds. */
	readonly maxAgeMs: number;
	readonly clock: Pick<Clock, 'now'>;
};

/** See the module's head. */
export class VersionHistory {
	readonly #parts: VersionHistoryParts;
	/** When each version last left a service, in milliseconds on the monotonic clock. */
	readonly #leftAt = new Map<GatewayServiceName, Map<SoftwareVersion, number>>();
	/** Time since which no registration can have been missed, in milliseconds on the monotonic clock. */
	#followedSince: number | undefined;
	#confirmedBefore = -Infinity;

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

	/**
	@param services - The services of one route.
	@param periodMs - Milliseconds up to now.
	*/
	within(services: readonly GatewayServiceName[], periodMs: number): ServedVersions {
		const now = this.#parts.clock.now();
		const since = now - periodMs;
		const past = services.flatMap(service => [...this.#leftAt.get(service) ?? []].filter(([, at]) => at >= since).map(([version]) => version));
		const versions = new Set([...past, ...services.flatMap(service => [...this.#presentVersions(service)])]);
		const isCurrent = now - this.#parts.confirmedAt() <= this.#parts.maxAgeMs;
		return {versions: [...versions], isComplete: isCurrent && this.#followedSince !== undefined && this.#followedSince <= since};
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
