/**
Which replicas can be reached, found out before callers wait for it.

The pattern: a VM loses its power or its network, and nothing is reset. Requests on kept connections get no byte, and new connections are not made. Each process that waits out a fixed time, again and again whenever the replica's doubt has lapsed, makes a caller late each time: with three of 13 replicas dark for 4.6 s, 47 calls waited 300 ms for a connection, which is their whole latency target.

So the time in which a connection is made is learnt, and a replica that does not make one in that time is left alone until a connection of the process's own, for which no caller waits, shows that it is back. And a request without a byte for longer than usual asks whether its replica can be reached at all: any byte from there answers that, or else a connection that is made for it.
*/
import type {Clock, Disposable, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {Replica} from '../replica.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {GatewayServiceName} from '../types.js';
import {ExpectedTime, type LimitBounds} from './expected-time.js';

/** Makes a connection and closes it. Resolves with whether it was made within the limit, in milliseconds. */
export type Dial = (address: string, limitMs: number) => Promise<boolean>;

/** What the contacts need. */
export type ReplicaReachabilityParts = {
	readonly directory: ReplicaDirectory;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly dial: Dial;
};

/** Connections are made in a few milliseconds, but a VM whose share of a core is used up stands still for up to a tenth of a second, less what it has had. The ceiling is the usual latency target: one that takes longer helps nobody. */
const connectBounds: LimitBounds = {floorMs: 60, ceilingMs: 300};

/** Engines send something every 30 ms while they serve a request, and nothing while it waits for a place. Below the floor, ordinary jitter would be asked about; above the ceiling, a stream that goes on elsewhere has had a pause that its caller notices. */
const suspectBounds: LimitBounds = {floorMs: 100, ceilingMs: 250};

/** A replica that was just reached is not asked about again for this long, in milliseconds: under a wave of calls many wait for a place at once, and each connection takes some of the replica's time. */
const trustMs = 500;

/** An unreachable replica is tried again after this long, and twice as long after each further try, up to the ceiling; in milliseconds. A crashed process is back after some seconds. */
const firstTryMs = 250;
const mostTryMs = 1000;

/** What one attempt tells of its replica, and asks about it. */
export type AttemptReachability = {
	/** Milliseconds in which a connection is made, unless the replica cannot be reached. */
	readonly connectTimeoutMs: number;
	/** Milliseconds without a byte after which `isReachable` is to be asked. */
	readonly probeAfterMs: number;
	/** The request was sent on a connection that was made for it within so many milliseconds; on a kept one it tells nothing. */
	noteConnected(ms: number): void;
	/** Something has come from the replica. */
	noteBytes(): void;
	isReachable(): Promise<boolean>;
};

/** See the module's head. */
export class ReplicaReachability implements Disposable {
	readonly #parts: ReplicaReachabilityParts;
	readonly #connectTimes = new Map<string, ExpectedTime>();
	readonly #pauses = new Map<GatewayServiceName, ExpectedTime>();
	readonly #checks = new Map<Replica, Promise<boolean>>();
	readonly #endings = new Map<Replica, Promise<boolean>>();
	readonly #tries = new Map<Replica, NodeJS.Timeout>();

	constructor(parts: ReplicaReachabilityParts) {
		this.#parts = parts;
		parts.directory.onChange(({replica, change}) => {
			if (change === 'left' || change === 'restarted') {
				this.#forget(replica);
			}
		});
	}

	/** What an attempt at a replica needs. */
	of(replica: Replica): AttemptReachability {
		let heardAt: number | undefined;
		return {
			connectTimeoutMs: this.#connectMs(replica),
			probeAfterMs: this.#pausesOf(replica).limitMs(suspectBounds),
			noteConnected: ms => {
				this.#connectTimesOf(replica).observe(ms);
			},
			noteBytes: () => {
				const now = this.#parts.clock.now();
				if (heardAt !== undefined) {
					this.#pausesOf(replica).observe(now - heardAt);
				}

				heardAt = now;
				replica.heardAt = now;
			},
			isReachable: async () => this.#isReachable(replica),
		};
	}

	/** A connection to the replica could not be made: it gets no requests until one can. */
	noteUnreachable(replica: Replica): void {
		replica.noteUnreachable();
		if (!this.#tries.has(replica)) {
			this.#tryAfter(replica, firstTryMs);
		}
	}

	/**
	Whether a replica that broke a connection has ended: a process that is gone takes no new one, one that only lost a connection does. Requests that break together share one question.
	*/
	async hasEnded(replica: Replica): Promise<boolean> {
		const underWay = this.#endings.get(replica) ?? this.#askWhetherEnded(replica);
		this.#endings.set(replica, underWay);
		return underWay;
	}

	dispose(): void {
		[...this.#tries.keys()].forEach(replica => {
			this.#forget(replica);
		});
	}

	#connectMs(replica: Replica): number {
		return this.#connectTimesOf(replica).limitMs(connectBounds);
	}

	/** The way to all replicas of a failure domain is about the same. */
	#connectTimesOf({record: {failureDomain}}: Replica): ExpectedTime {
		return known(this.#connectTimes, failureDomain);
	}

	#pausesOf({record: {service}}: Replica): ExpectedTime {
		return known(this.#pauses, service);
	}

	async #isReachable(replica: Replica): Promise<boolean> {
		const now = this.#parts.clock.now();
		const isHeard = now - replica.heardAt < this.#pausesOf(replica).limitMs(suspectBounds) / 2;
		if (isHeard || now - replica.probeSucceededAt < trustMs) {
			return true;
		}

		const underWay = this.#checks.get(replica) ?? this.#check(replica);
		this.#checks.set(replica, underWay);
		return underWay;
	}

	async #check(replica: Replica): Promise<boolean> {
		const {clock, log, dial} = this.#parts;
		const limitMs = this.#connectMs(replica);
		const silentMs = clock.now() - replica.heardAt;
		const isReachable = await dial(replica.record.address, limitMs);
		this.#checks.delete(replica);
		log.emit(gatewayEvents.replicaSuspected, {
			replica: replica.record.id, isReachable, silentMs: Math.round(silentMs), limitMs: Math.round(limitMs),
		});
		if (isReachable) {
			replica.probeSucceededAt = clock.now();
		} else {
			this.noteUnreachable(replica);
		}

		return isReachable;
	}

	async #askWhetherEnded(replica: Replica): Promise<boolean> {
		const isReachable = await this.#parts.dial(replica.record.address, this.#connectMs(replica));
		this.#endings.delete(replica);
		return !isReachable;
	}

	#tryAfter(replica: Replica, ms: number) {
		this.#tries.set(replica, setTimeout(() => {
			void this.#try(replica, ms);
		}, ms));
	}

	async #try(replica: Replica, afterMs: number) {
		const {clock, log, dial} = this.#parts;
		const startedAt = clock.now();
		const isReached = await dial(replica.record.address, connectBounds.ceilingMs);
		if (!this.#tries.has(replica)) {
			return;
		}

		if (!isReached) {
			this.#tryAfter(replica, Math.min(mostTryMs, 2 * afterMs));
			return;
		}

		this.#tries.delete(replica);
		this.#connectTimesOf(replica).observe(clock.now() - startedAt);
		replica.noteAnswer();
		log.emit(gatewayEvents.replicaReachable, {replica: replica.record.id});
	}

	#forget(replica: Replica) {
		clearTimeout(this.#tries.get(replica));
		this.#tries.delete(replica);
	}
}

const known = <K>(times: Map<K, ExpectedTime>, key: K): ExpectedTime => {
	const time = times.get(key) ?? new ExpectedTime();
	times.set(key, time);
	return time;
};
