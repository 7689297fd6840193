/**
Which requests are held back because they end the replicas that run them: part of the blackboard. Those who run requests write what they see, peers' news and the object API's records are taken in, and whoever is about to send a request asks.

Three replicas are what it costs to know such a request by: one or two crashes under the same request are common where several replicas end at once for another reason. A run that comes to its end shows that the request ends no replica, and what was held against it is forgotten everywhere.
*/
import {EventEmitter} from 'node:events';
import type {Clock, EventLog} from '../../common/services.js';
import type {LoadKind} from '../load-board.js';
import {gatewayEvents} from '../log-events.js';
import type {ReplicaRecord} from '../types.js';
import type {ContentDigest} from './content-digest.js';
import {CrashHistory, startOf, type Crash} from './crash-history.js';

/** What the quarantine needs. */
export type QuarantineParts = {
	readonly clock: Clock;
	readonly log: EventLog;
};

/** What one process tells its peers of crashes. */
export type CrashAnnouncement = {
	readonly crashes: readonly Crash[];
	readonly acquitted: readonly ContentDigest[];
};

/**
Replicas that may end under a request before it is held back.

With fewer, ordinary requests that were at replicas which ended for another reason would be refused; with more, each such request takes that many replicas from all other callers (quarantine.feature).
*/
export const crashThreshold = 3;

/**
How long a request is held back after its last crash, in milliseconds; twice as long after each further one. Then it is tried, since it may be blamed wrongly: three replicas that end at once for another reason may all have had the same popular request. One run that comes to its end clears it.

A kiosk that asks for it again and again ends four replicas in the five minutes after that, in place of several in a second; a popular page that is blamed wrongly is missing for half a minute. An item of a batch job is due within some tens of seconds, and is tried sooner.
*/
const firstHoldMs: Readonly<Record<LoadKind, number>> = {online: 30_000, batch: 10_000};

/** The longest, in milliseconds. */
const mostHoldMs = 3_600_000;

/** Crashes are remembered for longer than any hold, in milliseconds. */
const memoryMs = 2 * mostHoldMs;

/** News is told anew with each message for this long, in milliseconds: eight messages, so that none is missed for the loss of a few. */
const tellMs = 2000;

/** Of so many requests at the most, the last ones, peers that come back are told; a peer reads the others from the records. */
const maxToldAnew = 20;

/** Crashes in one message, and acquittals, the newest of each; about 7 kB. */
const maxTold = 60;

/** See the module's head. */
export class Quarantine {
	readonly #parts: QuarantineParts;
	readonly #memory = new CrashHistory();
	readonly #events = new EventEmitter();
	/** Requests under which enough replicas have ended, whether they may be tried by now or not. */
	readonly #held = new Set<ContentDigest>();
	#toldCrashes: ReadonlyArray<Crash & {readonly at: number}> = [];
	#toldAcquittals: ReadonlyArray<{readonly content: ContentDigest; readonly at: number}> = [];

	constructor(parts: QuarantineParts) {
		this.#parts = parts;
	}

	/** Whether any request is remembered. While none is, nobody has to know what a request asks for. */
	get hasSuspects(): boolean {
		return this.#memory.size > 0;
	}

	/** Requests that are held back, or were and may be tried. */
	get held(): readonly ContentDigest[] {
		return [...this.#held];
	}

	/** Calls the listener when there is something to tell peers at once. */
	onAnnouncementDue(listener: () => void): void {
		this.#events.on('news', listener);
	}

	/** Calls the listener when a request is held back, for the first time or again. */
	onHeld(listener: () => void): void {
		this.#events.on('held', listener);
	}

	/** Calls the listener when a request has been shown to end no replica. */
	onCleared(listener: (content: ContentDigest) => void): void {
		this.#events.on('acquitted', listener);
	}

	/** @returns For how many more milliseconds a request is not to be sent; 0 where it may be. */
	heldMs(content: ContentDigest, kind: LoadKind): number {
		const crashes = this.#memory.countOf(content);
		if (crashes < crashThreshold) {
			return 0;
		}

		const holdMs = Math.min(mostHoldMs, firstHoldMs[kind] * (2 ** (crashes - crashThreshold)));
		return Math.max(0, this.#memory.lastCrashAt(content) + holdMs - this.#parts.clock.now());
	}

	/** Whether a replica has ended under the request before. */
	isSuspected(content: ContentDigest): boolean {
		return this.#memory.countOf(content) > 0;
	}

	/** What is known of a request, and how long ago its last crash was, in milliseconds. */
	crashesOf(content: ContentDigest): {readonly starts: readonly string[]; readonly agoMs: number} {
		return {starts: this.#memory.startsOf(content), agoMs: this.#parts.clock.now() - this.#memory.lastCrashAt(content)};
	}

	/** A replica has ended while this process had the request there. */
	noteCrash(content: ContentDigest, replica: ReplicaRecord): void {
		const crash = {content, start: startOf(replica)};
		const now = this.#parts.clock.now();
		if (this.#take(crash, now)) {
			this.#tellAllOf([content]);
			this.#events.emit('news');
		}
	}

	/** A replica has run the request to its end. */
	noteSuccess(content: ContentDigest): void {
		if (!this.isSuspected(content)) {
			return;
		}

		const isUrgent = this.#held.has(content);
		this.#toldAcquittals = [...this.#toldAcquittals, {content, at: this.#parts.clock.now()}];
		this.clear(content, 'it has run to its end');
		if (isUrgent) {
			this.#events.emit('news');
		}
	}

	/** Forgets what is held against a request. */
	clear(content: ContentDigest, reason: string): void {
		this.#toldCrashes = this.#toldCrashes.filter(crash => crash.content !== content);
		this.#memory.delete(content);
		if (this.#held.delete(content)) {
			this.#parts.log.emit(gatewayEvents.contentReleased, {content, reason});
		}

		this.#events.emit('acquitted', content);
	}

	/** Takes over what a peer, or a record, says of crashes that were `agoMs` before. */
	receiveCrashes(crashes: readonly Crash[], agoMs = 0): void {
		const at = this.#parts.clock.now() - Math.max(0, agoMs);
		crashes.forEach(crash => {
			this.#take(crash, at);
		});
	}

	/** Takes over that requests have run to their end elsewhere. */
	receiveCleared(contents: readonly ContentDigest[]): void {
		contents.filter(content => this.isSuspected(content)).forEach(content => {
			this.clear(content, 'it has run to its end at another process');
		});
	}

	/** Tells peers again what more than one replica has ended under: one of them may have been cut off, or has just started. */
	reannounce(): void {
		const contents = this.#memory.withAtLeast(crashThreshold - 1).slice(-maxToldAnew);
		if (contents.length > 0) {
			this.#tellAllOf(contents);
			this.#events.emit('news');
		}
	}

	/** What peers are to be told now; nothing to tell most of the time. */
	announcement(): CrashAnnouncement {
		const since = this.#parts.clock.now() - tellMs;
		this.#toldCrashes = this.#toldCrashes.filter(({at}) => at >= since);
		this.#toldAcquittals = this.#toldAcquittals.filter(({at}) => at >= since);
		return {
			crashes: this.#toldCrashes.slice(-maxTold).map(({content, start}) => ({content, start})),
			acquitted: this.#toldAcquittals.slice(-maxTold).map(({content}) => content),
		};
	}

	/** Forgets what is long past. Call it every now and then. */
	deleteExpired(): void {
		this.#memory.deleteBefore(this.#parts.clock.now() - memoryMs);
		this.held.filter(content => !this.isSuspected(content)).forEach(content => {
			this.clear(content, 'its last crash is long past');
		});
	}

	#tellAllOf(contents: readonly ContentDigest[]) {
		const at = this.#parts.clock.now();
		const toTell = new Set(contents);
		const crashes = contents.flatMap(content => this.#memory.startsOf(content).map(start => ({content, start, at})));
		this.#toldCrashes = [...this.#toldCrashes.filter(({content}) => !toTell.has(content)), ...crashes];
	}

	#take(crash: Crash, at: number): boolean {
		const isNew = this.#memory.record(crash, at);
		const {content} = crash;
		const heldMs = this.heldMs(content, 'online');
		if (isNew && heldMs > 0) {
			this.#held.add(content);
			this.#parts.log.emit(gatewayEvents.contentQuarantined, {content, crashes: this.#memory.countOf(content), heldMs: Math.round(heldMs)});
			// The process that saw the last crash may know of fewer than this one: it may have just started.
			this.#tellAllOf([content]);
			this.#events.emit('news');
			this.#events.emit('held');
		}

		return isNew;
	}
}
