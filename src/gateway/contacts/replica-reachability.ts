/**
Detects unreachable replicas before callers have to wait for them.

When a VM loses its power or its network, no connection is reset: requests on open connections receive no bytes, and new connections are not established. A fixed connect timeout that expires again after each temporary exclusion of the replica delays a call each time. With a timeout of 300 ms, while three of 13 replicas were unreachable for 4.6 s, 47 calls waited 300 ms for a connection, their whole latency target.

Therefore the connect timeout is derived from observed connect times, and a replica that exceeds it gets no requests until a connection of the process's own, for which no caller waits, succeeds. A request without a byte for longer than usual checks whether its replica can be reached: any byte from the replica shows that, or else a connection that is established for the check.
*/
import {EventEmitter} from 'node:events';
import type {Clock, Disposable, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {Replica} from '../replica.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {GatewayServiceName} from '../types.js';
import {ExpectedTime, type LimitBounds} from './expected-time.js';

/** Establishes a connection and closes it. Resolves with whether it was established within the limit, in milliseconds. */
export type Dial = (address: string, limitMs: number) => Promise<boolean>;

/** Dependencies of the reachability tracking. */
export type ReplicaReachabilityParts = {
	readonly directory: ReplicaDirectory;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly dial: Dial;
};

/** Bounds of the connect timeout. Connections are established in a few milliseconds, but a VM that has used up its CPU quota is paused for up to a tenth of a second, less the quota it has used. The ceiling is the usual latency target: a connection that takes longer is of no use. */
const connectBounds: LimitBounds = {floorMs: 60, ceilingMs: 300};

/** Bounds of the time without a byte after which reachability is checked. Engines send something every 30 ms while they serve a request, and nothing while it waits for a slot. Below the floor, ordinary jitter would cause checks; above the ceiling, a stream that continues at another replica has a pause that its caller notices. */
const probeBounds: LimitBounds = {floorMs: 100, ceilingMs: 250};

/** A replica that was just reached is not checked again for this long, in milliseconds: in a burst many calls wait for a slot at once, and each connection takes some of the replica's time. */
const recheckAfterMs = 500;

/** An unreachable replica is tried again after this delay, which doubles with each further attempt up to the maximum; in milliseconds. A crashed process is back after some seconds. */
const firstRetryMs = 250;
const maxRetryMs = 1000;

/** What one attempt reports about the reachability of its replica, and asks about it. */
export type AttemptReachability = {
	/** Milliseconds within which a connection is established, unless the replica cannot be reached. */
	readonly connectTimeoutMs: number;
	/** Milliseconds without a byte after which `isReachable` is to be called. */
	readonly probeAfterMs: number;
	/** Records that a connection was established for the request within this many milliseconds. Not to be called for a reused connection, which says nothing about connect times. */
	noteConnected(ms: number): void;
	/** Records that bytes were received from the replica. */
	noteBytes(): void;
	isReachable(): Promise<boolean>;
};

/** See the module's head. */
export class ReplicaReachability implements Disposable {
	readonly #parts: ReplicaReachabilityParts;
	readonly #connectTimes = new Map<string, ExpectedTime>();
	readonly #pauses = new Map<GatewayServiceName, ExpectedTime>();
	readonly #checks = new Map<Replica, Promise<boolean>>();
	readonly #endChecks = new Map<Replica, Promise<boolean>>();
	readonly #retries = new Map<Replica, NodeJS.Timeout>();
	readonly #events = new EventEmitter();

	constructor(parts: ReplicaReachabilityParts) {
		this.#parts = parts;
		parts.directory.onChange(({replica, change}) => {
			if (change === 'left' || change === 'restarted') {
				this.#cancelRetry(replica);
			}
		});
	}

	/** The reachability of a replica, for one attempt there. */
	of(replica: Replica): AttemptReachability {
		let lastBytesAt: number | undefined;
		return {
			connectTimeoutMs: this.#connectTimeoutMs(replica),
			probeAfterMs: this.#pausesOf(replica).limitMs(probeBounds),
			noteConnected: ms => {
				this.#connectTimesOf(replica).observe(ms);
			},
			noteBytes: () => {
				const now = this.#parts.clock.now();
				if (lastBytesAt !== undefined) {
					this.#pausesOf(replica).observe(now - lastBytesAt);
				}

				lastBytesAt = now;
				replica.heardAt = now;
			},
			isReachable: async () => this.#isReachable(replica),
		};
	}

	/** Records that a request of this process could not reach the replica: it gets no requests until a connection can be established. */
	noteUnreachable(replica: Replica): void {
		const isNew = !this.#retries.has(replica);
		this.#exclude(replica);
		if (isNew) {
			this.#events.emit('unreachable', replica);
		}
	}

	/** Calls the listener when a request of this process has found a replica unreachable. */
	onUnreachable(listener: (replica: Replica) => void): void {
		this.#events.on('unreachable', listener);
	}

	/** Checks a replica that a peer could not reach. It gets no requests if it cannot be reached from here either. */
	checkNow(replica: Replica): void {
		const {clock} = this.#parts;
		const isKnown = this.#retries.has(replica) || clock.now() - replica.probeSucceededAt < recheckAfterMs;
		if (!isKnown && !this.#checks.has(replica)) {
			this.#checks.set(replica, this.#check(replica, () => {
				this.#exclude(replica);
			}));
		}
	}

	/**
	Whether a replica whose connection broke has ended: a terminated process accepts no new connection, one that only lost a connection does. A new start, or another replica, at its address accepts some, too. Requests that break together share one check.
	*/
	async hasEnded(replica: Replica): Promise<boolean> {
		if (this.#parts.directory.isReplaced(replica)) {
			return true;
		}

		const ongoing = this.#endChecks.get(replica) ?? this.#checkEnded(replica);
		this.#endChecks.set(replica, ongoing);
		return ongoing;
	}

	dispose(): void {
		[...this.#retries.keys()].forEach(replica => {
			this.#cancelRetry(replica);
		});
	}

	#exclude(replica: Replica) {
		replica.noteUnreachable();
		if (!this.#retries.has(replica)) {
			this.#scheduleRetry(replica, firstRetryMs);
		}
	}

	#connectTimeoutMs(replica: Replica): number {
		return this.#connectTimesOf(replica).limitMs(connectBounds);
	}

	/** Connect times are about the same for all replicas of a failure domain. */
	#connectTimesOf({record: {failureDomain}}: Replica): ExpectedTime {
		return estimateOf(this.#connectTimes, failureDomain);
	}

	#pausesOf({record: {service}}: Replica): ExpectedTime {
		return estimateOf(this.#pauses, service);
	}

	async #isReachable(replica: Replica): Promise<boolean> {
		const now = this.#parts.clock.now();
		const hasRecentBytes = now - replica.heardAt < this.#pausesOf(replica).limitMs(probeBounds) / 2;
		if (hasRecentBytes || now - replica.probeSucceededAt < recheckAfterMs) {
			return true;
		}

		const ongoing = this.#checks.get(replica) ?? this.#check(replica, () => {
			this.noteUnreachable(replica);
		});
		this.#checks.set(replica, ongoing);
		return ongoing;
	}

	async #check(replica: Replica, onUnreachable: () => void): Promise<boolean> {
		const {clock, log, dial} = this.#parts;
		const limitMs = this.#connectTimeoutMs(replica);
		const silentMs = clock.now() - replica.heardAt;
		const isReachable = await dial(replica.record.address, limitMs);
		this.#checks.delete(replica);
		log.emit(gatewayEvents.replicaSuspected, {
			replica: replica.record.id, isReachable, silentMs: Math.round(silentMs), limitMs: Math.round(limitMs),
		});
		if (isReachable) {
			replica.probeSucceededAt = clock.now();
		} else {
			onUnreachable();
		}

		return isReachable;
	}

	async #checkEnded(replica: Replica): Promise<boolean> {
		const isReachable = await this.#parts.dial(replica.record.address, this.#connectTimeoutMs(replica));
		this.#endChecks.delete(replica);
		return !isReachable;
	}

	#scheduleRetry(replica: Replica, ms: number) {
		this.#retries.set(replica, setTimeout(() => {
			void this.#retry(replica, ms);
		}, ms));
	}

	async #retry(replica: Replica, afterMs: number) {
		const {clock, log, dial} = this.#parts;
		const startedAt = clock.now();
		const isReached = await dial(replica.record.address, connectBounds.ceilingMs);
		if (!this.#retries.has(replica)) {
			return;
		}

		if (!isReached) {
			this.#scheduleRetry(replica, Math.min(maxRetryMs, 2 * afterMs));
			return;
		}

		this.#retries.delete(replica);
		this.#connectTimesOf(replica).observe(clock.now() - startedAt);
		replica.noteAnswer();
		log.emit(gatewayEvents.replicaReachable, {replica: replica.record.id});
	}

	#cancelRetry(replica: Replica) {
		clearTimeout(this.#retries.get(replica));
		this.#retries.delete(replica);
	}
}

const estimateOf = <K>(times: Map<K, ExpectedTime>, key: K): ExpectedTime => {
	const time = times.get(key) ?? new ExpectedTime();
	times.set(key, time);
	return time;
};
