/**
Holds back requests whose prompts have a part that crashes the replicas that begin to answer it, whatever else the request contains: part of the blackboard. Crashes and sound runs are recorded by the code that runs requests, and from the peers' announcements and the records in the object API.

A part is held back after two crashes, and released everywhere by one sound run. While several parts explain the same crashes, only requests with all of them are held back; the others show which part it is. Once the time is over, one request tests the part, whichever process receives it.
*/
import {EventEmitter} from 'node:events';
import type {Clock, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import {RepeatedAnnouncements} from '../peers/repeated-announcements.js';
import type {MemberName, ReplicaRecord} from '../types.js';
import {startOf, type ReplicaStart} from './crash-history.js';
import {
	PartEvidence, trialStart, type Culprit, type PartCrash,
} from './part-evidence.js';
import {isPartKey, type PartKey} from './prompt-part-keys.js';

/** Dependencies of the quarantine. */
export type PartQuarantineParts = {
	readonly self: MemberName;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Place of this process in the order in which processes may test a part; `undefined` if it may not. */
	readonly trialRank: (part: PartKey) => number | undefined;
};

/** A crash as one process announces it to its peers. */
export type AnnouncedPartCrash = PartCrash & {
	/** Milliseconds between the crash and the message. */
	readonly agoMs: number;
};

/** A cleared part as one process announces it to its peers. */
export type ClearedPart = {
	readonly part: PartKey;
	/** Milliseconds between the sound run and the message: later crashes still count. */
	readonly agoMs: number;
};

/** What one process announces to its peers about prompt parts. */
export type PartAnnouncement = {
	readonly partCrashes?: readonly AnnouncedPartCrash[];
	readonly clearedParts?: readonly ClearedPart[];
	readonly withdrawnTrials?: readonly PartTrial[];
};

/** One request that tests parts. */
export type PartTrial = ReplicaStart;

/** How long parts are held back that may not be the cause, in milliseconds; the replicas that crashed are back after that. */
const uncertainHoldMs = 2500;

/** How long parts are held back that are certain to be the cause or have failed a test, in milliseconds; the time increases by the factor with each further test. */
const certainHoldMs = 60_000;
const trialBackoffFactor = 8;

/** The longest time for which a part is held back, in milliseconds. */
const maxHoldMs = 3_600_000;

/** Crashes are retained for longer than any part is held back, in milliseconds. */
const retainCrashesMs = 2 * maxHoldMs;

/** Time by which each further process in the order waits longer for a request that tests a part, in milliseconds: long enough to receive the announcement of another's test. */
const trialStaggerMs = 1000;

/** Delay after which callers are to retry while a part awaits its test, in milliseconds. */
const awaitTrialMs = 1000;

/** Maximum number of crashes, of parts of one crash, and of cleared parts in one message, the newest of each. */
const maxAnnounced = 40;
const maxPartsOfCrash = 24;

/** Maximum number of parts whose crashes are announced again when a peer joins. */
const maxReannounced = 20;

type TimedCrash = PartCrash & {readonly at: number};

/** See the module's head. */
export class PartQuarantine {
	readonly #parts: PartQuarantineParts;
	readonly #evidence = new PartEvidence();
	readonly #events = new EventEmitter();
	/** Parts that were held back at the last change, for the log. */
	#loggedParts = new Set<PartKey>();
	readonly #announcedCrashes: RepeatedAnnouncements<ReplicaStart, TimedCrash>;
	readonly #announcedCleared: RepeatedAnnouncements<PartKey, {readonly part: PartKey; readonly at: number}>;
	readonly #announcedWithdrawn: RepeatedAnnouncements<PartTrial, PartTrial>;
	#trials = 0;

	constructor(parts: PartQuarantineParts) {
		this.#parts = parts;
		this.#announcedCrashes = new RepeatedAnnouncements(parts.clock, maxAnnounced);
		this.#announcedCleared = new RepeatedAnnouncements(parts.clock, maxAnnounced);
		this.#announcedWithdrawn = new RepeatedAnnouncements(parts.clock, maxAnnounced);
	}

	/** Whether crashes are recorded for any part. While there are none, no part of a request is needed. */
	get hasSuspects(): boolean {
		return this.#evidence.size > 0;
	}

	/** Changes whenever a crash is recorded. */
	get version(): number {
		return this.#evidence.version;
	}

	/** Parts that are held back, alone or together with others. */
	get held(): readonly PartKey[] {
		return this.#evidence.culprits.flatMap(({parts}) => parts);
	}

	/** Calls the listener when there is something to announce to the peers at once. */
	onAnnouncementDue(listener: () => void): void {
		this.#events.on('announcementDue', listener);
	}

	/** Calls the listener when a part is held back, for the first time or again. */
	onHeld(listener: () => void): void {
		this.#events.on('held', listener);
	}

	/** Calls the listener when the crashes of a part have been deleted. */
	onCleared(listener: (part: PartKey) => void): void {
		this.#events.on('cleared', listener);
	}

	/** The parts by which a request is held back. */
	heldPartsOf(parts: readonly PartKey[]): readonly PartKey[] {
		return this.#culpritsOf(parts).flatMap(culprit => culprit.parts);
	}

	/** @returns For how many more milliseconds a request with these parts is not to be sent; 0 where it may be. */
	heldMs(parts: readonly PartKey[]): number {
		return Math.max(0, ...this.#culpritsOf(parts).map(culprit => Math.max(awaitTrialMs, this.#remainingMs(culprit))));
	}

	/** Whether a request with these parts would now test the parts by which it is held back. A request with other suspected parts would show nothing. */
	isTrialDue(parts: readonly PartKey[]): boolean {
		const culprits = this.#culpritsOf(parts);
		const tested = new Set(culprits.flatMap(culprit => culprit.parts));
		return culprits.length > 0
			&& parts.every(part => tested.has(part) || !this.#evidence.has(part))
			&& culprits.every(culprit => this.#mayTry(culprit));
	}

	/** Records that a request with these parts is sent as their test. They are held back as if it had failed until it has succeeded: the process that sends it may be killed. */
	startTrial(parts: readonly PartKey[]): PartTrial {
		const {self, clock, log} = this.#parts;
		const tested = this.heldPartsOf(parts);
		this.#trials += 1;
		const trial = trialStart(self, `${Math.round(clock.wall())}-${this.#trials}`);
		log.emit(gatewayEvents.partTested, {parts: tested});
		this.#review(this.#record({start: trial, parts: tested, seenBy: self}, clock.now()));
		return trial;
	}

	/** Takes a trial back that has shown nothing, so that another request can test its parts. */
	withdrawTrial(trial: PartTrial): void {
		this.#evidence.withdraw(trial);
		this.#announcedCrashes.update(crash => crash.start === trial ? undefined : crash);
		this.#announcedWithdrawn.set(trial, trial);
		this.#parts.log.emit(gatewayEvents.partTestWithdrawn, {trial});
		this.#events.emit('announcementDue');
	}

	/** Takes back the trials of a process that has terminated: nobody knows what they have shown. */
	withdrawTrialsOf(process: MemberName): void {
		this.receiveWithdrawn(this.#evidence.trialsOf(process));
	}

	/** Takes back trials that another process has withdrawn. */
	receiveWithdrawn(trials: readonly PartTrial[]): void {
		trials.forEach(trial => {
			this.#evidence.withdraw(trial);
			this.#announcedCrashes.update(crash => crash.start === trial ? undefined : crash);
		});
	}

	/** Records that a replica has crashed at the beginning of its answer to a request with these parts; without parts, that it has ended whatever it ran. */
	noteCrash(parts: readonly PartKey[], replica: ReplicaRecord): void {
		const {self, clock} = this.#parts;
		this.#review(this.#record({start: startOf(replica), parts: parts.slice(0, maxPartsOfCrash), seenBy: self}, clock.now()));
	}

	/** Records that a replica has gone on with a request with these parts. */
	noteSound(parts: readonly PartKey[]): void {
		const suspected = parts.filter(part => this.#evidence.has(part));
		if (suspected.length === 0) {
			return;
		}

		const at = this.#parts.clock.now();
		const isUrgent = suspected.some(part => this.held.includes(part));
		suspected.forEach(part => {
			this.#announcedCleared.set(part, {part, at});
			this.clear(part, 'a request with it was answered');
		});
		if (isUrgent) {
			this.#events.emit('announcementDue');
		}
	}

	/** Deletes the crashes of a part until the given time, and releases it unless there were later ones. */
	clear(part: PartKey, reason: string, until = this.#parts.clock.now()): void {
		const wasHeld = this.held.includes(part);
		this.#evidence.clear(part, until);
		if (this.#evidence.has(part)) {
			this.#logChanges();
			return;
		}

		this.#announcedCrashes.update(crash => {
			const parts = crash.parts.filter(other => other !== part);
			return parts.length > 0 || crash.parts.length === 0 ? {...crash, parts} : undefined;
		});
		if (wasHeld) {
			this.#parts.log.emit(gatewayEvents.partReleased, {part, reason});
		}

		this.#loggedParts.delete(part);
		this.#logChanges();
		this.#events.emit('cleared', part);
	}

	/** Records crashes from a peer's announcement. */
	receiveCrashes(crashes: readonly AnnouncedPartCrash[]): void {
		const now = this.#parts.clock.now();
		this.#review(crashes.flatMap(({agoMs, ...crash}) => {
			const parts = crash.parts.filter(part => isPartKey(part)).slice(0, maxPartsOfCrash);
			return this.#evidence.record({...crash, parts}, now - agoMs);
		}));
	}

	/** Clears parts of which another process has seen a sound run. */
	receiveCleared(cleared: readonly ClearedPart[]): void {
		const now = this.#parts.clock.now();
		cleared.filter(({part}) => this.#evidence.has(part)).forEach(({part, agoMs}) => {
			this.clear(part, 'a request with it was answered at another process', now - agoMs);
		});
	}

	/** The crashes and tests of a part, the processes that saw them, and how long ago the last one was, in milliseconds. */
	crashesOf(part: PartKey): {readonly starts: readonly ReplicaStart[]; readonly seenBy: readonly MemberName[]; readonly agoMs: number} {
		const entries = this.#evidence.entriesOf(part);
		const all = [...entries.values()];
		return {
			starts: [...entries.keys()], seenBy: all.map(({seenBy}) => seenBy), agoMs: this.#parts.clock.now() - Math.max(...all.map(({at}) => at)),
		};
	}

	/** Records the crashes of a part from its stored record; the last one occurred `agoMs` milliseconds ago. The others were earlier, at different moments: the part was held back. */
	restore(part: PartKey, {starts, seenBy = []}: {readonly starts: readonly ReplicaStart[]; readonly seenBy?: readonly MemberName[]}, agoMs: number): void {
		const lastAt = this.#parts.clock.now() - Math.max(0, agoMs);
		this.#review(starts.flatMap((start, i) => this.#evidence.record({start, parts: [part], seenBy: seenBy[i] ?? this.#parts.self}, lastAt - (restoredGapMs * (starts.length - 1 - i)))));
	}

	/** Announces parts that are held back again: a peer may have been partitioned, or may have just started. */
	reannounce(): void {
		const parts = this.held.slice(0, maxReannounced);
		if (parts.length > 0) {
			this.#announceAllOf(parts);
			this.#events.emit('announcementDue');
		}
	}

	/** What is to be announced to the peers now; usually empty. */
	announcement(): PartAnnouncement {
		const now = this.#parts.clock.now();
		const withAge = <T extends {readonly at: number}>({at, ...announced}: T) => ({...announced, agoMs: Math.max(0, Math.round(now - at))});
		const crashes = this.#announcedCrashes.current().map(crash => withAge(crash));
		const cleared = this.#announcedCleared.current().map(part => withAge(part));
		const withdrawn = this.#announcedWithdrawn.current();
		return {
			partCrashes: crashes.length > 0 ? crashes : undefined,
			clearedParts: cleared.length > 0 ? cleared : undefined,
			withdrawnTrials: withdrawn.length > 0 ? withdrawn : undefined,
		};
	}

	/** Deletes crashes beyond their retention time. To be called regularly. */
	deleteExpired(): void {
		this.#evidence.lastBefore(this.#parts.clock.now() - retainCrashesMs).forEach(part => {
			this.clear(part, 'its crashes have expired');
		});
	}

	#culpritsOf(parts: readonly PartKey[]): readonly Culprit[] {
		return parts.length === 0 ? [] : this.#evidence.culprits.filter(culprit => culprit.parts.every(part => parts.includes(part)));
	}

	/** Negative once the hold is over and the parts await their test. */
	#remainingMs(culprit: Culprit): number {
		return culprit.lastAt + holdMsOf(culprit) - this.#parts.clock.now();
	}

	#mayTry(culprit: Culprit): boolean {
		const rank = this.#parts.trialRank(culprit.parts[0]!);
		return rank !== undefined && this.#remainingMs(culprit) <= -rank * trialStaggerMs;
	}

	/** Records and announces what this process has seen. */
	#record(crash: PartCrash, at: number): readonly PartKey[] {
		const isNewEnd = !this.#evidence.hasEnd(crash.start);
		const added = this.#evidence.record(crash, at);
		if (added.length > 0 || isNewEnd) {
			this.#announce([{...crash, parts: added, at}]);
			this.#events.emit('announcementDue');
		}

		return added;
	}

	/** Acts on what the crashes that were recorded for these parts have changed. */
	#review(parts: readonly PartKey[]) {
		if (parts.length === 0) {
			return;
		}

		this.#logChanges();
		const held = [...new Set(parts)].filter(part => this.#loggedParts.has(part));
		if (held.length > 0) {
			this.#announceOwn(held);
			this.#events.emit('held');
		}
	}

	/** The process that saw the last crash may have recorded fewer than those that saw the others: it may have just started. */
	#announceOwn(parts: readonly PartKey[]) {
		const {self} = this.#parts;
		const own = parts.filter(part => [...this.#evidence.entriesOf(part).values()].some(({seenBy}) => seenBy === self));
		if (own.length > 0) {
			this.#announceAllOf(own);
			this.#events.emit('announcementDue');
		}
	}

	#announceAllOf(parts: readonly PartKey[]) {
		this.#announce(parts.flatMap(part => [...this.#evidence.entriesOf(part)].map(([start, {at, seenBy}]) => ({
			start, parts: [part], seenBy, at,
		}))));
	}

	/** Parts of the same crash go into one entry. */
	#announce(crashes: readonly TimedCrash[]) {
		crashes.forEach(crash => {
			const parts = [...new Set([...this.#announcedCrashes.get(crash.start)?.parts ?? [], ...crash.parts])];
			this.#announcedCrashes.set(crash.start, {...crash, parts});
		});
	}

	#logChanges() {
		const {log} = this.#parts;
		const {culprits} = this.#evidence;
		const held = new Set(this.held);
		culprits.filter(({parts}) => parts.some(part => !this.#loggedParts.has(part))).forEach(culprit => {
			const {parts, crashes, isCertain, trials} = culprit;
			log.emit(gatewayEvents.partQuarantined, {
				parts, crashes, isCertain, trials, heldMs: Math.round(this.#remainingMs(culprit)), replicas: parts.flatMap(part => [...this.#evidence.entriesOf(part).keys()]).slice(0, maxPartsOfCrash),
			});
		});
		[...this.#loggedParts].filter(part => !held.has(part)).forEach(part => {
			log.emit(gatewayEvents.partReleased, {part, reason: 'another part explains its crashes'});
		});
		this.#loggedParts = held;
	}
}

/** Gap between the crashes of a restored record, in milliseconds: enough that they count as different moments. */
const restoredGapMs = 100;

const holdMsOf = ({isCertain, trials}: Culprit): number => trials === 0 && !isCertain ? uncertainHoldMs : Math.min(maxHoldMs, certainHoldMs * (trialBackoffFactor ** Math.max(0, trials - 1)));
