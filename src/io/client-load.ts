/**
What the clients of one process hold at all its servers together: requests that are unanswered, their bodies, and answers that are not read.

A request that would exceed the limit is refused before its body is read, and one with a large body sooner than a short one. For a short one, and if bodies that are being received or answers that are not read exceed the limit, the connections give way that hold most: those with a body that is incomplete, with requests sent ahead, or with an unread answer. A single request that has been received completely keeps its place, since it may run.
*/
import type {Disposable, EventLog, Metrics} from '../common/services.js';
import type {ClientLimits} from './client-limits.js';
import {platformEvents} from './log-events.js';
import {MemoryPressure} from './memory-pressure.js';

/** A connection, as the load sees it. */
export type LoadHolder = {
	/** Bytes that its requests hold. */
	readonly heldBytes: number;
	/** Whether it can give way: a request of it has not been received completely, or waits for the one before. */
	readonly canGiveWay: boolean;
	/** Bytes of its answers that the client has not read. */
	readonly unreadBytes: number;
	/** Ends what makes it hold so much. */
	giveWay(): void;
};

/** A server, as the load sees it. */
export type LoadedServer = {
	/** Name in metrics and the log. */
	readonly name: string;
	/** Number of its connections. */
	readonly size: number;
	/** Its connections with unanswered requests. */
	readonly holders: Iterable<LoadHolder>;
	/** Ends connections that make no progress. To be called repeatedly. @param now - In milliseconds of `performance.now()`. */
	endStalled(now: number): void;
};

/** Why a connection was ended, or a request refused. */
export type LimitReason = 'requests' | 'connections' | 'memory' | 'slowBody' | 'unreadAnswer';

/** Dependencies. */
export type ClientLoadParts = {
	readonly limits: ClientLimits;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** A request that holds no more than this, with its body, gets a place while there is any; in bytes. */
const shortRequestBytes = 32_768;

/** Part of the limit beyond which only short requests are taken. */
const longRequestShare = 0.75;

/** A connection whose answer is not read gives way only if that is more than a connection usually buffers, in bytes. */
const leastUnreadBytes = 65_536;

const checkMs = 500;

/** Gauges are set at every so many checks. */
const checksPerReport = 10;

/** See the module's head. */
export class ClientLoad implements Disposable {
	readonly limits: ClientLimits;
	readonly #log: EventLog;
	readonly #metrics: Metrics;
	readonly #servers = new Set<LoadedServer>();
	readonly #pressure: MemoryPressure;
	readonly #timer: NodeJS.Timeout;
	#heldBytes = 0;
	#checks = 0;

	constructor({limits, log, metrics}: ClientLoadParts) {
		this.limits = limits;
		this.#log = log;
		this.#metrics = metrics;
		this.#pressure = new MemoryPressure(limits.memoryBytes);
		this.#timer = setInterval(() => {
			this.#check();
		}, checkMs);
		this.#timer.unref();
	}

	/** Bytes that are held now. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Registers a server. */
	add(server: LoadedServer): void {
		this.#servers.add(server);
	}

	/** Removes a server that has been closed. */
	remove(server: LoadedServer): void {
		this.#servers.delete(server);
	}

	/** Whether a connection may hold so many bytes more, for a request with its body or for an answer. For a short one, others that hold more give way. */
	admits(bytes: number, asker?: LoadHolder): boolean {
		if (bytes > shortRequestBytes) {
			return this.#heldBytes + bytes <= longRequestShare * this.limits.heldBytes;
		}

		const excess = this.#heldBytes + bytes - this.limits.heldBytes;
		if (excess > 0) {
			const askerBytes = bytes + (asker?.heldBytes ?? 0);
			this.#makeRoom(({canGiveWay, heldBytes}) => canGiveWay && heldBytes > askerBytes, ({heldBytes}) => heldBytes, excess);
		}

		return this.#heldBytes + bytes <= this.limits.heldBytes;
	}

	/** Notes that a connection holds more, or less. If this exceeds the limit, the connections that hold most give way, this one among them. */
	note(bytes: number): void {
		this.#heldBytes += bytes;
		if (bytes > 0 && this.#heldBytes > this.limits.heldBytes) {
			this.#makeRoom(({canGiveWay}) => canGiveWay, ({heldBytes}) => heldBytes, this.#heldBytes - this.limits.heldBytes);
		}
	}

	/** Notes that so many bytes were received, or allocated, whether they are held or not. */
	noteReceived(bytes: number): void {
		this.#pressure.note(bytes);
	}

	/** Counts and logs that a limit was met. @param peer - `ip:port` of the client. */
	noteLimit(reason: LimitReason, server: string, peer: string): void {
		this.#metrics.count('server.limits', 1, {reason, server});
		this.#log.emit(platformEvents.limitMet, {
			reason, server, peer, heldBytes: this.#heldBytes,
		});
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	get #holders(): LoadHolder[] {
		return [...this.#servers].flatMap(server => [...server.holders]);
	}

	#report() {
		this.#metrics.gauge('server.heldBytes', this.#heldBytes);
		this.#metrics.gauge('server.heldBytesLimit', this.limits.heldBytes);
		this.#servers.forEach(({name, size}) => {
			this.#metrics.gauge('server.connections', size, {server: name});
		});
	}

	#makeRoom(canGiveWay: (holder: LoadHolder) => boolean, sizeOf: (holder: LoadHolder) => number, bytes: number) {
		const victims = this.#holders.filter(holder => canGiveWay(holder)).toSorted((a, b) => sizeOf(b) - sizeOf(a));
		let freed = 0;
		for (const victim of victims) {
			if (freed >= bytes) {
				return;
			}

			freed += sizeOf(victim);
			victim.giveWay();
		}
	}

	#check() {
		this.#checks += 1;
		if (this.#checks % checksPerReport === 0) {
			this.#report();
		}

		const now = performance.now();
		this.#servers.forEach(server => {
			server.endStalled(now);
		});
		const unreadBytes = this.#holders.reduce((sum, holder) => sum + holder.unreadBytes, 0);
		const excess = this.#heldBytes + unreadBytes - this.limits.heldBytes;
		if (excess > 0) {
			this.#makeRoom(holder => holder.unreadBytes > leastUnreadBytes, holder => holder.unreadBytes, excess);
		}
	}
}
