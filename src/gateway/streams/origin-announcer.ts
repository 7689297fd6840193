/**
Announces the origins of streams to the peers that keep them. Each is announced when its run is sent, so that peers have stored it by the time the first event arrives; the event is delayed only if the confirmation has not been received by then.

Origins are sent as datagrams, which cost a fraction of an RPC, and are retransmitted until they are confirmed.
*/
import type {
	Clock, Disposable, EventLog, Metrics,
} from '../../common/services.js';
import type {DatagramChannel} from '../../io/datagram-channel.js';
import {gatewayEvents} from '../log-events.js';
import type {OriginHolders} from './origin-holders.js';
import type {AnnouncedOrigin} from './stream-origin.js';

/** The methods of the notifications between processes. */
export const originsMethod = 'gateway.origins';
export const originsKeptMethod = 'gateway.originsKept';

/** Origins that a process asks a peer to keep. */
export type OriginsMessage = {
	/** `ip:port` at which the sender receives the confirmation. */
	readonly from: string;
	readonly seq: number;
	readonly origins: readonly AnnouncedOrigin[];
};

/** Confirms a message. */
export type OriginsKept = {readonly seq: number};

/** An announcement to all holders of one origin. */
export type Announcement = {
	/** False while confirmations are pending. */
	readonly isSettled: boolean;
	/** Resolves once all holders have confirmed, or the wait has timed out. */
	readonly settled: Promise<void>;
};

/** Dependencies of the announcer. */
export type OriginAnnouncerParts = {
	readonly channel: Pick<DatagramChannel, 'address' | 'send'>;
	readonly holders: Pick<OriginHolders, 'of'>;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** Origins for the same peer are batched for this long, in milliseconds; the first token of a stream takes longer. */
const gatherMs = 5;

/** The longest time that an event waits for the confirmation, in milliseconds from the announcement: a few round trips between regions. */
const maxWaitMs = 150;

/** Delay before the first retransmission of a message, in milliseconds; doubled after each further one. */
const firstRepeatMs = 40;

/** Maximum number of transmissions of a message: by then, a terminated peer has been removed. */
const maxSends = 5;

/** The maximum number of origins in one datagram. */
const maxOriginsPerMessage = 200;

/** See {@link Announcement}. */
class PendingAnnouncement implements Announcement {
	readonly settled: Promise<void>;
	#resolve: (() => void) | undefined;
	#isSettled = false;
	#unconfirmed: number;
	readonly #timer: NodeJS.Timeout | undefined;

	constructor(holders: number) {
		this.#unconfirmed = holders;
		this.settled = new Promise(resolve => {
			this.#resolve = resolve;
		});
		if (holders === 0) {
			this.settle();
			return;
		}

		this.#timer = setTimeout(() => {
			this.settle();
		}, maxWaitMs);
	}

	get isSettled(): boolean {
		return this.#isSettled;
	}

	confirm(): void {
		this.#unconfirmed -= 1;
		if (this.#unconfirmed === 0) {
			this.settle();
		}
	}

	settle(): void {
		clearTimeout(this.#timer);
		this.#isSettled = true;
		this.#resolve?.();
	}
}

type Gathered = {readonly origin: AnnouncedOrigin; readonly announcement: PendingAnnouncement};

type Delivery = {
	readonly address: string;
	readonly gathered: readonly Gathered[];
	sends: number;
	timer: NodeJS.Timeout | undefined;
};

/** See the module's head. */
export class OriginAnnouncer implements Disposable {
	readonly #parts: OriginAnnouncerParts;
	readonly #outbox = new Map<string, Gathered[]>();
	readonly #deliveries = new Map<number, Delivery>();
	#seq: number;
	#gatherTimer: NodeJS.Timeout | undefined;
	#isDisposed = false;

	constructor(parts: OriginAnnouncerParts) {
		this.#parts = parts;
		// A confirmation for an earlier start of this process must match none of this one's messages.
		this.#seq = Math.floor(parts.clock.wall());
	}

	/** Announces an origin to the peers that are to keep it. */
	announce(origin: AnnouncedOrigin): Announcement {
		const holders = this.#isDisposed ? [] : this.#parts.holders.of(origin.key);
		const announcement = new PendingAnnouncement(holders.length);
		holders.forEach(({state: {address}}) => {
			const gathered = this.#outbox.get(address) ?? [];
			gathered.push({origin, announcement});
			this.#outbox.set(address, gathered);
		});
		if (holders.length > 0) {
			this.#gatherTimer ??= setTimeout(() => {
				this.#flush();
			}, gatherMs);
		}

		return announcement;
	}

	/** Handles a peer's confirmation. */
	receiveKept({seq}: OriginsKept): void {
		const delivery = this.#deliveries.get(seq);
		if (!delivery) {
			return;
		}

		this.#remove(seq, delivery);
		delivery.gathered.forEach(({announcement}) => {
			announcement.confirm();
		});
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#gatherTimer);
		[...this.#deliveries].forEach(([seq, delivery]) => {
			this.#remove(seq, delivery);
		});
	}

	#flush() {
		this.#gatherTimer = undefined;
		[...this.#outbox].forEach(([address, gathered]) => {
			while (gathered.length > 0) {
				this.#seq += 1;
				const delivery: Delivery = {
					address, gathered: gathered.splice(0, maxOriginsPerMessage), sends: 0, timer: undefined,
				};
				this.#deliveries.set(this.#seq, delivery);
				this.#send(this.#seq, delivery);
			}
		});
		this.#outbox.clear();
	}

	#send(seq: number, delivery: Delivery) {
		const {channel} = this.#parts;
		const message: OriginsMessage = {from: channel.address, seq, origins: delivery.gathered.map(({origin}) => origin)};
		channel.send([delivery.address], originsMethod, message);
		delivery.timer = setTimeout(() => {
			this.#repeat(seq, delivery);
		}, firstRepeatMs * (2 ** delivery.sends));
		delivery.sends += 1;
	}

	#repeat(seq: number, delivery: Delivery) {
		if (delivery.sends < maxSends) {
			this.#send(seq, delivery);
			return;
		}

		this.#remove(seq, delivery);
		this.#parts.metrics.count('gateway.originsUnconfirmed', delivery.gathered.length);
		this.#parts.log.emit(gatewayEvents.originsUnconfirmed, {holder: delivery.address, streams: delivery.gathered.length, sends: delivery.sends});
	}

	#remove(seq: number, delivery: Delivery) {
		clearTimeout(delivery.timer);
		this.#deliveries.delete(seq);
	}
}
