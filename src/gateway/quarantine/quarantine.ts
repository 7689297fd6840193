/**
Holds back requests that crash the replicas that run them: part of the blackboard. Crashes are recorded by the code that runs requests, from the peers' announcements and from the records in the object API; the quarantine is queried before a request is sent.

A request is recognised after three crashes, since one or two crashes during the same request are common where several replicas end at once for another reason. A completed run shows that the request does not crash replicas, and its crashes are deleted at all processes.
*/
import {EventEmitter} from 'node:events';
import type {Clock, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import {RepeatedAnnouncements} from '../peers/repeated-announcements.js';
import type {ReplicaRecord} from '../types.js';
import type {ContentDigest} from './content-digest.js';
import {
	CrashHistory, startOf, type Crash, type ReplicaStart,
} from './crash-history.js';

/** Dependencies of the quarantine. */
export type QuarantineParts = {
	readonly clock: Clock;
	readonly log: EventLog;
};

/** What one process announces to its peers about crashes. */
export type CrashAnnouncement = {
	readonly crashes: readonly Crash[];
	readonly acquitted: readonly ContentDigest[];
};

/**
Number of replicas that end while running a request before it is held back.

With fewer, ordinary requests that were running at replicas which ended for another reason would be rejected; with more, each request that crashes replicas takes that many from all other callers (quarantine.feature).
*/
export const crashThreshold = 3;

/**
How long a request is held back after its last crash, in milliseconds; the time doubles with each further crash. Afterwards it is tried again, since it may not be the cause: three replicas that end at once for another reason may all have been running the same popular request. One completed run clears it.

A client that keeps repeating a request that crashes replicas ends four of them in the five minutes after that, instead of several in a second; a popular request that is held back wrongly is unavailable for half a minute.
*/
const initialHoldMs = 30_000;

/** The longest time for which a request is held back, in milliseconds. */
const maxHoldMs = 3_600_000;

/** Crashes are retained for longer than any request is held back, in milliseconds. */
const retainCrashesMs = 2 * maxHoldMs;

/** Maximum number of requests, the most recent ones, that are announced again when a peer joins; it reads the others from the records. */
const maxReannounced = 20;

/** Maximum number of crashes, and of cleared requests, in one message, the newest of each; about 7 kB. */
const maxAnnounced = 60;

/** See the module's head. */
export class Quarantine {
	readonly #parts: QuarantineParts;
	readonly #history = new CrashHistory();
	readonly #events = new EventEmitter();
	/** Requests that have reached the crash threshold, whether they may be tried again by now or not. */
	readonly #held = new Set<ContentDigest>();
	readonly #announcedCrashes: RepeatedAnnouncements<string, Crash>;
	readonly #announcedCleared: RepeatedAnnouncements<ContentDigest, ContentDigest>;

	constructor(parts: QuarantineParts) {
		this.#parts = parts;
		this.#announcedCrashes = new RepeatedAnnouncements(parts.clock, maxAnnounced);
		this.#announcedCleared = new RepeatedAnnouncements(parts.clock, maxAnnounced);
	}

	/** Whether crashes are recorded for any request. While there are none, no digest of a request is needed. */
	get hasSuspects(): boolean {
		return this.#history.size > 0;
	}

	/** Whether there may be something to announce to the peers. */
	get hasAnnouncement(): boolean {
		return !this.#announcedCrashes.isEmpty || !this.#announcedCleared.isEmpty;
	}

	/** Requests that are held back, and those that were and may be tried again. */
	get held(): readonly ContentDigest[] {
		return [...this.#held];
	}

	/** Calls the listener when there is something to announce to the peers at once. */
	onAnnouncementDue(listener: () => void): void {
		this.#events.on('announcementDue', listener);
	}

	/** Calls the listener when a request is held back, for the first time or again. */
	onHeld(listener: () => void): void {
		this.#events.on('held', listener);
	}

	/** Calls the listener when the crashes of a request have been deleted. */
	onCleared(listener: (content: ContentDigest) => void): void {
		this.#events.on('cleared', listener);
	}

	/** @returns For how many more milliseconds a call is not to be sent; 0 where it may be. */
	heldMs(content: ContentDigest): number {
		const crashes = this.#history.countOf(content);
		if (crashes < crashThreshold) {
			return 0;
		}

		const holdMs = Math.min(maxHoldMs, initialHoldMs * (2 ** (crashes - crashThreshold)));
		return Math.max(0, this.#history.lastCrashAt(content) + holdMs - this.#parts.clock.now());
	}

	/** Whether a replica has ended before while running the request. */
	isSuspected(content: ContentDigest): boolean {
		return this.#history.countOf(content) > 0;
	}

	/** The recorded crashes of a request, and how long ago the last one was, in milliseconds. */
	crashesOf(content: ContentDigest): {readonly starts: readonly ReplicaStart[]; readonly agoMs: number} {
		return {starts: this.#history.startsOf(content), agoMs: this.#parts.clock.now() - this.#history.lastCrashAt(content)};
	}

	/** Records that a replica has ended while it was running the request for this process. */
	noteCrash(content: ContentDigest, replica: ReplicaRecord): void {
		const crash = {content, start: startOf(replica)};
		const now = this.#parts.clock.now();
		if (this.#record(crash, now)) {
			this.#announceAllOf([content]);
			this.#events.emit('announcementDue');
		}
	}

	/** Records that a replica has completed the request. */
	noteSuccess(content: ContentDigest): void {
		if (!this.isSuspected(content)) {
			return;
		}

		const isUrgent = this.#held.has(content);
		this.#announcedCleared.set(content, content);
		this.clear(content, 'it has completed');
		if (isUrgent) {
			this.#events.emit('announcementDue');
		}
	}

	/** Deletes the crashes of a request and releases it. */
	clear(content: ContentDigest, reason: string): void {
		this.#announcedCrashes.update(crash => crash.content === content ? undefined : crash);
		this.#history.delete(content);
		if (this.#held.delete(content)) {
			this.#parts.log.emit(gatewayEvents.contentReleased, {content, reason});
		}

		this.#events.emit('cleared', content);
	}

	/** Records crashes that occurred `agoMs` milliseconds ago, from a peer's announcement by default. */
	receiveCrashes(crashes: readonly Crash[], agoMs = 0): void {
		const at = this.#parts.clock.now() - Math.max(0, agoMs);
		crashes.forEach(crash => {
			this.#record(crash, at);
		});
	}

	/** Records the crashes of a request from its stored record; the last one occurred `agoMs` milliseconds ago. */
	restore(content: ContentDigest, {starts}: {readonly starts: readonly ReplicaStart[]}, agoMs: number): void {
		this.receiveCrashes(starts.map(start => ({content, start})), agoMs);
	}

	/** Clears requests that have completed at other processes. */
	receiveCleared(contents: readonly ContentDigest[]): void {
		contents.filter(content => this.isSuspected(content)).forEach(content => {
			this.clear(content, 'it has completed at another process');
		});
	}

	/** Announces requests with more than one crash again: a peer may have been partitioned, or may have just started. */
	reannounce(): void {
		const contents = this.#history.withAtLeast(crashThreshold - 1).slice(-maxReannounced);
		if (contents.length > 0) {
			this.#announceAllOf(contents);
			this.#events.emit('announcementDue');
		}
	}

	/** What is to be announced to the peers now; usually empty. */
	announcement(): CrashAnnouncement {
		return {crashes: this.#announcedCrashes.current(), acquitted: this.#announcedCleared.current()};
	}

	/** Deletes crashes beyond their retention time. To be called regularly. */
	deleteExpired(): void {
		this.#history.deleteBefore(this.#parts.clock.now() - retainCrashesMs);
		this.held.filter(content => !this.isSuspected(content)).forEach(content => {
			this.clear(content, 'its crashes have expired');
		});
	}

	#announceAllOf(contents: readonly ContentDigest[]) {
		contents.forEach(content => {
			this.#history.startsOf(content).forEach(start => {
				this.#announcedCrashes.set(`${content} ${start}`, {content, start});
			});
		});
	}

	#record(crash: Crash, at: number): boolean {
		const isNew = this.#history.record(crash, at);
		const {content} = crash;
		const heldMs = this.heldMs(content);
		if (isNew && heldMs > 0) {
			this.#held.add(content);
			this.#parts.log.emit(gatewayEvents.contentQuarantined, {content, crashes: this.#history.countOf(content), heldMs: Math.round(heldMs)});
			// The process that saw the last crash may have recorded fewer than this one: it may have just started.
			this.#announceAllOf([content]);
			this.#events.emit('announcementDue');
			this.#events.emit('held');
		}

		return isNew;
	}
}
