/**
Processes that hold an account to its rate limit together, in virtual time and without a network: calls arrive at random, and what one process tells reaches the others late, or is lost.
*/
import type {Clock, EventLog, RandomSource} from '../../common/services.js';
import {branded} from '../../common/ids.js';
import {RateLimits} from '../accounts/rate-limits.js';
import type {ClientAccountName, MemberName, RateLimit} from '../types.js';

/** How the processes share a limit. `told`: each hears of the others' admissions. `parts`: each has an equal part to itself. `authority`: one process hands credit out to the others, some calls ahead. */
export type SharingStrategy = 'told' | 'parts' | 'authority';

/** The fleet and its load. */
export type RateLimitLoad = {
	readonly processes: number;
	readonly limit: RateLimit;
	/** Calls a second of the account, over all processes. */
	readonly perSecond: number;
	/** The share of the calls that comes to the first process; the others get equal parts of the rest. An equal part by default. */
	readonly firstShare?: number;
	readonly random: RandomSource;
	readonly strategy: SharingStrategy;
	/** Within these milliseconds, the last so many processes neither hear the others nor are heard. */
	readonly cut?: {readonly processes: number; readonly from: number; readonly until: number};
	/** All processes are started anew at this moment, in milliseconds. */
	readonly restartAt?: number;
};

/** What came of it. */
export type RateLimitOutcome = {
	/** The most calls that were admitted within any window. */
	readonly maxInWindow: number;
	/** Admitted calls, of those that the limit allows over the whole time or that came, whichever is less. */
	readonly servedShare: number;
	/** Messages that one process sends in a second, on the mean. */
	readonly messagesPerSecond: number;
	/** Bytes that one process sends in a second for it, on the mean. */
	readonly bytesPerSecond: number;
};

/** Calls beyond the limit that operators tolerate in a window, as the most of it that the rules of a deployment allow. */
export const modelTolerance = 20;

/** In milliseconds. */
export const modelWindowMs = 5000;

const lengthMs = 20_000;
const tellEveryMs = 100;
const leastTravelMs = 1;
const mostTravelMs = 30;
const lostShare = 0.01;

/** A process asks the authority for what its calls need in this long, in seconds. */
const aheadS = 0.2;

/** A credit message: its headers, a name and two counts, in bytes. */
const creditBytes = 120;

const account = branded<ClientAccountName>('a');
const silentLog: EventLog = {emit: () => undefined};

type Happening = {readonly at: number; readonly act: () => void};

/** What decides on calls at one process. */
type Decider = {
	admit(now: number): boolean;
	/** Tells the others, and returns the bytes of one message; nothing when there is nothing to tell. */
	tell?(now: number): number;
};

class Timeline {
	now = 0;
	readonly #happenings: Happening[] = [];

	at(at: number, act: () => void): void {
		this.#happenings.push({at, act});
	}

	/** Runs everything in the order of its time. Most happenings are known ahead, so they are sorted by milliseconds. */
	run(untilMs: number): void {
		const slots: Happening[][] = Array.from({length: untilMs + 1}, () => []);
		const place = (happenings: readonly Happening[]) => {
			happenings.filter(({at}) => at <= untilMs).forEach(happening => {
				slots[Math.max(Math.ceil(this.now), Math.floor(happening.at))]!.push(happening);
			});
		};

		for (let ms = 0; ms <= untilMs; ms += 1) {
			this.now = ms;
			place(this.#happenings.splice(0));
			const due = slots[ms]!;
			for (let happening = due.shift(); happening; happening = due.shift()) {
				happening.act();
				place(this.#happenings.splice(0));
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
	#asked = 0;
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
		this.#planNews();
		if (restartAt !== undefined) {
			this.#timeline.at(restartAt, () => {
				this.#start();
			});
		}

		this.#timeline.run(lengthMs);
		const allowed = (limit.perSecond * lengthMs / 1000) + limit.burst;
		return {
			maxInWindow: this.#mostInWindow(),
			servedShare: this.#admittedAt.length / Math.min(this.#asked, allowed),
			messagesPerSecond: this.#messages / processes / (lengthMs / 1000),
			bytesPerSecond: this.#bytes / processes / (lengthMs / 1000),
		};
	}

	#start() {
		const ways: Readonly<Record<SharingStrategy, () => Decider[]>> = {
			told: () => this.#startTold(),
			parts: () => this.#startParts(),
			authority: () => this.#startAuthority(),
		};
		this.#deciders = ways[this.#load.strategy]();
	}

	#planCalls() {
		const {random, perSecond} = this.#load;
		let at = 0;
		while (at < lengthMs) {
			at += -Math.log(1 - random.next()) * 1000 / perSecond;
			const process = this.#drawProcess();
			this.#timeline.at(at, () => {
				this.#asked += 1;
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

	#planNews() {
		const {processes, random} = this.#load;
		Array.from({length: processes}, (_, i) => i).forEach(process => {
			for (let at = random.next() * tellEveryMs; at < lengthMs; at += tellEveryMs) {
				this.#timeline.at(at, () => {
					this.#deciders[process]!.tell?.(this.#timeline.now);
				});
			}
		});
	}

	#mostInWindow(): number {
		let first = 0;
		let most = 0;
		this.#admittedAt.forEach((at, last) => {
			while (this.#admittedAt[first]! <= at - modelWindowMs) {
				first += 1;
			}

			most = Math.max(most, last - first + 1);
		});
		return most;
	}

	#isCutOff(process: number): boolean {
		const {cut, processes} = this.#load;
		const {now} = this.#timeline;
		return cut !== undefined && process >= processes - cut.processes && now >= cut.from && now < cut.until;
	}

	/** Delivers a message, unless it is lost or on the wrong side of a cut. */
	#send(from: number, to: number, bytes: number, act: () => void) {
		const {random} = this.#load;
		this.#messages += 1;
		this.#bytes += bytes;
		if (random.next() >= lostShare && this.#isCutOff(from) === this.#isCutOff(to) && !this.#isCutOff(from)) {
			this.#timeline.at(this.#timeline.now + leastTravelMs + (random.next() * (mostTravelMs - leastTravelMs)), act);
		}
	}

	#startTold(): Decider[] {
		const {processes, limit} = this.#load;
		const names = Array.from({length: processes}, (_, i) => branded<MemberName>(`p${i}`));
		const startedAt = this.#timeline.now;
		const heardBy = (process: number): ReadonlySet<MemberName> => new Set(names.filter((_, i) => i !== process && !this.#isCutOff(i) && !this.#isCutOff(process)));
		const limits = names.map((_, process) => new RateLimits({
			clock: this.#clock, log: silentLog, tolerance: modelTolerance, registeredCount: () => processes, livePeers: () => heardBy(process),
		}));
		return limits.map((own, process) => ({
			admit: () => 'credit' in own.admit({name: account, accountKeys: [], rateLimit: limit}),
			tell: () => {
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

	#startParts(): Decider[] {
		const {processes, limit: {perSecond, burst}} = this.#load;
		const limit = {perSecond: perSecond / processes, burst: burst / processes};
		return Array.from({length: processes}, () => {
			const own = new RateLimits({
				clock: this.#clock, log: silentLog, tolerance: modelTolerance / processes, registeredCount: () => 1, livePeers: () => new Set(),
			});
			return {admit: () => 'credit' in own.admit({name: account, accountKeys: [], rateLimit: limit})};
		});
	}

	/** The first process is the authority. Credit that is not used within its time is given back by forgetting it. */
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
			const own = {credit: 0, asked: 0, isAsking: false};
			const ask = () => {
				if (own.isAsking) {
					return;
				}

				own.isAsking = true;
				const wanted = Math.max(1, Math.ceil(own.asked * aheadS));
				this.#timeline.at(this.#timeline.now + tellEveryMs, () => {
					own.isAsking = false;
				});
				this.#send(process, 0, creditBytes, () => {
					const granted = draw(wanted);
					this.#send(0, process, creditBytes, () => {
						own.credit += granted;
						own.isAsking = false;
					});
				});
			};

			return {
				admit: () => {
					own.asked += 1;
					this.#timeline.at(this.#timeline.now + 1000, () => {
						own.asked -= 1;
					});
					if (process === 0) {
						return draw(1) === 1;
					}

					const isAdmitted = own.credit >= 1;
					own.credit -= isAdmitted ? 1 : 0;
					if (own.credit < own.asked * aheadS / 2 || !isAdmitted) {
						ask();
					}

					return isAdmitted;
				},
			};
		});
	}
}

/** Plays the load. */
export const simulateRateLimit = (load: RateLimitLoad): RateLimitOutcome => new RateLimitModel(load).run();
