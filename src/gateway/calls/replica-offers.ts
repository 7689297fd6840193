/**
The replicas that one call is offered to, in turn: which may run it, which have been tried, and whether it is worthwhile to wait for those of its version.
*/
import type {GatewayParts} from '../parts.js';
import {chooseForOnline} from '../placement/replica-choice.js';
import type {ReplicaConnection} from '../replica-connection-pool.js';
import type {Replica} from '../replica.js';
import {ofVersion, type StreamBinding} from '../streams/stream-binding.js';
import type {GatewayServiceName, ReplicaId} from '../types.js';

/** Maximum number of replicas that one call is offered to while each declines it or cannot be reached. */
const maxOffers = 4;

/** With less time left than this, in milliseconds, the call is offered to no replica: the answer could not reach the caller in time. */
const minTimeLeftMs = 10;

/** Delay after which the replicas of a stream's version are tried again, and the maximum total delay, in milliseconds: callers abandon a stream after a gap of about 2 s. */
export const versionRetryMs = 100;
const maxVersionWaitMs = 1500;

/** Why no replica is left. */
export type NoReplicaReason = 'versionGone' | 'noReplica' | 'full';

/** A replica with a connection to it. */
export type OfferedReplica = {
	readonly replica: Replica;
	readonly connection: ReplicaConnection;
};

/** Parameters of a call's offers. */
export type OffersOfCall = {
	readonly service: GatewayServiceName;
	readonly binding: StreamBinding;
	/** Whether a broken run may be followed by another one. */
	readonly isRepeatable: boolean;
};

/** See the module's head. */
export class ReplicaOffers {
	/** The service whose replicas may run the call. */
	service: GatewayServiceName;
	readonly #parts: GatewayParts;
	readonly #binding: StreamBinding;
	readonly #isRepeatable: boolean;
	readonly #tried = new Set<ReplicaId>();
	#count = 0;
	/** Offers since the last retry of the replicas of the version. */
	#countInRound = 0;
	/** Milliseconds for which the call has waited for replicas of its version. */
	#versionWaitMs = 0;

	constructor(parts: GatewayParts, {service, binding, isRepeatable}: OffersOfCall) {
		this.#parts = parts;
		this.service = service;
		this.#binding = binding;
		this.#isRepeatable = isRepeatable;
	}

	/** Number of replicas that the call has been offered to. */
	get count(): number {
		return this.#count;
	}

	/** Replicas that may run the call. */
	get candidates(): readonly Replica[] {
		return ofVersion(this.#parts.directory.takingWork(this.service), this.#binding.softwareVersion);
	}

	/** Whether a replica is left that has not been tried. */
	get hasOther(): boolean {
		return this.candidates.some(({record}) => !this.#tried.has(record.id));
	}

	/** Why {@link next} has found none. */
	get noReplicaReason(): NoReplicaReason {
		if (this.candidates.length === 0 && this.#binding.softwareVersion !== undefined) {
			return 'versionGone';
		}

		return this.#count === 0 ? 'noReplica' : 'full';
	}

	/** @returns The next replica, which then counts as tried; `undefined` if none is left, or the time is almost up. */
	next(timeLeftMs: number, needsNewConnection: boolean): OfferedReplica | undefined {
		const replica = this.#countInRound < maxOffers && timeLeftMs > minTimeLeftMs ? this.#choose() : undefined;
		const connection = replica && this.#parts.connectionPools.acquire(replica, needsNewConnection);
		if (!replica || !connection) {
			return undefined;
		}

		this.#count += 1;
		this.#countInRound += 1;
		this.#tried.add(replica.record.id);
		return {replica, connection};
	}

	/** The replica was not asked after all, and may be tried again. */
	forget(replica: Replica): void {
		this.#tried.delete(replica.record.id);
	}

	/** Whether replicas that are left out because of their version make it worthwhile to wait for a slot at the others. */
	mayAwaitVersion(timeLeftMs: number): boolean {
		const count = this.candidates.length;
		return count > 0
			&& count < this.#parts.directory.takingWork(this.service).length
			&& this.#versionWaitMs < maxVersionWaitMs
			&& timeLeftMs > versionRetryMs + minTimeLeftMs;
	}

	/** Lets the replicas of the version be tried again, after {@link versionRetryMs}. */
	startNextRound(): void {
		this.#versionWaitMs += versionRetryMs;
		this.#tried.clear();
		this.#countInRound = 0;
	}

	#choose(): Replica | undefined {
		const {clock, random, failureDomain, processCount, paces} = this.#parts;
		return chooseForOnline(this.candidates, {
			now: clock.now(), random, failureDomain, tried: this.#tried, processCount: processCount(), canFailOver: this.#isRepeatable, paces,
		});
	}
}
