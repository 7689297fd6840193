/**
Simulates processes that jointly enforce the rate limit of an account, in virtual time and without a network. Calls arrive at random, and the announcements of a process reach the others late, or are lost.
*/
import type {Clock, EventLog, RandomSource} from '../../common/services.js';
import {branded} from '../../common/ids.js';
import {RateLimits} from '../accounts/rate-limits.js';
import type {ClientAccountName, MemberName, RateLimit} from '../types.js';

/** How the processes share a limit. `told`: each announces its admissions to the others. `parts`: each enforces an equal part of the limit on its own. `authority`: one process grants credit to the others, some calls ahead. */
export type SharingStrategy = 'told' | 'parts' | 'authority';

/** The simulated processes and their load. */
export type RateLimitLoad = {
	readonly processes: number;
	readonly limit: RateLimit;
	/** Calls of the account per second, over all processes. */
	readonly perSecond: number;
	/** Share of the calls that the first process receives; the others receive equal parts of the rest. An equal part by default. */
	readonly firstShare?: number;
	readonly random: RandomSource;
	readonly strategy: SharingStrategy;
	/** Partitions the last so many processes from the others, from and until these times in milliseconds. */
	readonly cut?: {readonly processes: number; readonly from: number; readonly until: number};
	/** Time at which all processes are restarted, in milliseconds. */
	readonly restartAt?: number;
};

/** The result of a simulation. */
export type RateLimitOutcome = {
	/** Maximum number of calls admitted within any window. */
	readonly maxInWindow: number;
	/** Admitted calls as a share of those that arrived, or that the limit allows over the whole time if that is fewer. */
	readonly servedShare: number;
	/** Mean number of messages that one process sends per second. */
	readonly messagesPerSecond: number;
	/** Mean number of bytes in these messages per second and process. */
	readonly bytesPerSecond: number;
};

/** Calls beyond the limit that are tolerated in a window; the maximum that the rules of a deployment allow. */
export const modelTolerance = 20;

/** Window in which admitted calls are counted, in milliseconds. */
export const modelWindowMs = 5000;

const lengthMs = 20_000;
const announceEveryMs = 100;
const minTransitMs = 1;
const maxTransitMs = 30;
const lossShare = 0.01;

/** A process requests credit for the calls of this long from the authority, in seconds. */
const prefetchS = 0.2;

/** Size of a credit message, in bytes: its headers, a name and two counts. */
const creditBytes = 120;

const account = branded<ClientAccountName>('a');
const silentLog: EventLog = {emit: () => undefined};

type ScheduledEvent = {readonly at: number; readonly act: () => void};

/** Decides on calls at one process. */
type Decider = {
	admit(now: number): boolean;
	/** Sends an announcement to the others and returns the size of one message in bytes; 0 if there is nothing to announce. */
	announce?(now: number): number;
};

class Timeline {
	now = 0;
	readonly #pending: ScheduledEvent[] = [];

	at(at: number, act: () => void): void {
		this.#pending.push({at, act});
	}

	/** Runs all events in the order of their times. Most events are scheduled in advance, so they are sorted into buckets of a millisecond. */
	run(untilMs: number): void {
		const buckets: ScheduledEvent[][] = Array.from({length: untilMs + 1}, () => []);
		const schedule = (events: readonly ScheduledEvent[]) => {
			events.filter(({at}) => at <= untilMs).forEach(event => {
				buckets[Math.max(Math.ceil(this.now), Math.floor(event.at))]!.push(event);
			});
		};

		for (let ms = 0; ms <= untilMs; ms += 1) {
			this.now = ms;
			schedule(this.#pending.splice(0));
			const due = buckets[ms]!;
			for (let event = due.shift(); event; event = due.shift()) {
				event.act();
				schedule(this.#pending.splice(0));
			}
		}
	}
}

class RateLimitModel {
	readonly #load: RateLimitLoad;
	readonly #timeline = new Timeline();
	readonly #clock: Clock;
	readonly #admittedAt: number[] = [];
	#deciders: Decider[] = [];
	#arrivedCalls = 0;
	#messages = 0;
	#bytes = 0;

	constructor(load: RateLimitLoad) {
		this.#load = load;
		this.#clock = {now: () => this.#timeline.now, wall: () => this.#timeline.now, sleep: async () => undefined};
		this.#start();
	}

	run(): RateLimitOutcome {
		const {processes, limit, restartAt} = this.#load;
		this.#planCalls();
		this.#planAnnouncements();
		if (restartAt !== undefined) {
			this.#timeline.at(restartAt, () => {
				this.#start();
			});
		}

		this.#timeline.run(lengthMs);
		const allowed = (limit.perSecond * lengthMs / 1000) + limit.burst;
		return {
			maxInWindow: this.#maxInWindow(),
			servedShare: this.#admittedAt.length / Math.min(this.#arrivedCalls, allowed),
			messagesPerSecond: this.#messages / processes / (lengthMs / 1000),
			bytesPerSecond: this.#bytes / processes / (lengthMs / 1000),
		};
	}

	#start() {
		const starters: Readonly<Record<SharingStrategy, () => Decider[]>> = {
			told: () => this.#startAnnouncing(),
			parts: () => this.#startEqualParts(),
			authority: () => this.#startAuthority(),
		};
		this.#deciders = starters[this.#load.strategy]();
	}

	#planCalls() {
		const {random, perSecond} = this.#load;
		let at = 0;
		while (at < lengthMs) {
			at += -Math.log(1 - random.next()) * 1000 / perSecond;
			const process = this.#drawProcess();
			this.#timeline.at(at, () => {
				this.#arrivedCalls += 1;
				if (this.#deciders[process]!.admit(this.#timeline.now)) {
					this.#admittedAt.push(this.#timeline.now);
				}
			});
		}
	}

	#drawProcess(): number {
		const {random, processes, firstShare = 1 / processes} = this.#load;
		return random.next() < firstShare || processes === 1 ? 0 : 1 + Math.floor(random.next() * (processes - 1));
	}

	#planAnnouncements() {
		const {processes, random} = this.#load;
		Array.from({length: processes}, (_, i) => i).forEach(process => {
			for (let at = random.next() * announceEveryMs; at < lengthMs; at += announceEveryMs) {
				this.#timeline.at(at, () => {
					this.#deciders[process]!.announce?.(this.#timeline.now);
				});
			}
		});
	}

	#maxInWindow(): number {
		let first = 0;
		let max = 0;
		this.#admittedAt.forEach((at, last) => {
			while (this.#admittedAt[first]! <= at - modelWindowMs) {
				first += 1;
			}

			max = Math.max(max, last - first + 1);
		});
		return max;
	}

	#isPartitioned(process: number): boolean {
		const {cut, processes} = this.#load;
		const {now} = this.#timeline;
		return cut !== undefined && process >= processes - cut.processes && now >= cut.from && now < cut.until;
	}

	/** Delivers a message unless it is lost or crosses a partition. */
	#send(from: number, to: number, bytes: number, act: () => void) {
		const {random} = this.#load;
		this.#messages += 1;
		this.#bytes += bytes;
		if (random.next() >= lossShare && this.#isPartitioned(from) === this.#isPartitioned(to) && !this.#isPartitioned(from)) {
			this.#timeline.at(this.#timeline.now + minTransitMs + (random.next() * (maxTransitMs - minTransitMs)), act);
		}
	}

	#startAnnouncing(): Decider[] {
		const {processes, limit} = this.#load;
		const names = Array.from({length: processes}, (_, i) => branded<MemberName>(`p${i}`));
		const startedAt = this.#timeline.now;
		const reachablePeers = (process: number): ReadonlySet<MemberName> => new Set(names.filter((_, i) => i !== process && !this.#isPartitioned(i) && !this.#isPartitioned(process)));
		const limits = names.map((_, process) => new RateLimits({
			clock: this.#clock, log: silentLog, tolerance: modelTolerance, registeredCount: () => processes, livePeers: () => reachablePeers(process),
		}));
		return limits.map((own, process) => ({
			admit: () => 'credit' in own.admit({name: account, accountKeys: [], rateLimit: limit}),
			announce: () => {
				const accountUsage = own.announcement();
				if (accountUsage.length === 0) {
					return 0;
				}

				const bytes = JSON.stringify(accountUsage).length;
				limits.forEach((other, to) => {
					if (to !== process) {
						this.#send(process, to, bytes, () => {
							other.receiveUsage({member: names[process]!, startedAt, accountUsage}, () => limit);
						});
					}
				});
				return bytes;
			},
		}));
	}

	#startEqualParts(): Decider[] {
		const {processes, limit: {perSecond, burst}} = this.#load;
		const limit = {perSecond: perSecond / processes, burst: burst / processes};
		return Array.from({length: processes}, () => {
			const own = new RateLimits({
				clock: this.#clock, log: silentLog, tolerance: modelTolerance / processes, registeredCount: () => 1, livePeers: () => new Set(),
			});
			return {admit: () => 'credit' in own.admit({name: account, accountKeys: [], rateLimit: limit})};
		});
	}

	/** The first process is the authority. Unused credit is never returned. */
	#startAuthority(): Decider[] {
		const {processes, limit} = this.#load;
		const bucket = {level: this.#timeline.now === 0 ? limit.burst : 0, filledAt: this.#timeline.now};
		const draw = (wanted: number): number => {
			const {now} = this.#timeline;
			bucket.level = Math.min(limit.burst, bucket.level + (limit.perSecond * (now - bucket.filledAt) / 1000));
			bucket.filledAt = now;
			const granted = Math.max(0, Math.min(Math.floor(bucket.level), wanted));
			bucket.level -= granted;
			return granted;
		};

		return Array.from({length: processes}, (_, process) => {
			const own = {credit: 0, recentCalls: 0, isRequesting: false};
			const requestCredit = () => {
				if (own.isRequesting) {
					return;
				}

				own.isRequesting = true;
				const wanted = Math.max(1, Math.ceil(own.recentCalls * prefetchS));
				this.#timeline.at(this.#timeline.now + announceEveryMs, () => {
					own.isRequesting = false;
				});
				this.#send(process, 0, creditBytes, () => {
					const granted = draw(wanted);
					this.#send(0, process, creditBytes, () => {
						own.credit += granted;
						own.isRequesting = false;
					});
				});
			};

			return {
				admit: () => {
					own.recentCalls += 1;
					this.#timeline.at(this.#timeline.now + 1000, () => {
						own.recentCalls -= 1;
					});
					if (process === 0) {
						return draw(1) === 1;
					}

					const isAdmitted = own.credit >= 1;
					own.credit -= isAdmitted ? 1 : 0;
					if (own.credit < own.recentCalls * prefetchS / 2 || !isAdmitted) {
						requestCredit();
					}

					return isAdmitted;
				},
			};
		});
	}
}

/** Runs the simulation. */
export const simulateRateLimit = (load: RateLimitLoad): RateLimitOutcome => new RateLimitModel(load).run();
