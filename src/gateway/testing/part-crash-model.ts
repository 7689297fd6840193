/**
Simulates a service some of whose requests crash its replicas by one part of their prompts, in virtual time and without a network. Each front has its own quarantine and receives the announcements of the others with a delay; none is lost.

The load is that of departure boards, scaled with the number of fronts: 13 replicas of 8 slots and 60 requests of 0.8 s a second for every 5 fronts. A request has the part of its route, that of its caller, and perhaps one that crashes replicas; such a request crashes its replica 40 to 120 ms after it has begun to run. A crashed replica is back after 3.2 s.
*/
import {branded} from '../../common/ids.js';
import type {Clock, RandomSource} from '../../common/services.js';
import {PartQuarantine} from '../quarantine/part-quarantine.js';
import {partKeysOf, type PartKey} from '../quarantine/prompt-part-keys.js';
import type {MemberName, ReplicaRecord} from '../types.js';
import {registrationOf} from './registrations.js';

/** The part of a quarantine that the model drives. */
export type PartTable = Pick<PartQuarantine, 'heldMs' | 'isTrialDue' | 'noteCrash' | 'noteSound' | 'version'> & {
	readonly startTrial: (parts: readonly PartKey[]) => unknown;
};

/** The simulated load. */
export type PartLoad = {
	readonly fronts: number;
	readonly random: RandomSource;
	/** Crashing parts, each at a caller of its own. */
	readonly crashingParts: number;
	/** Requests a second with each of them, between second 3 and second 8, and from second 20 on. */
	readonly crashingPerSecond: number;
	/** Times at which half of the replicas end at once without being caused by a request, in milliseconds. */
	readonly outagesAt?: readonly number[];
	/** Builds a table that all fronts share at once, in place of their own quarantines. */
	readonly sharedTable?: (clock: Clock) => PartTable & {noteRequest(parts: readonly PartKey[]): void};
};

/** The result of a simulation. */
export type PartOutcome = {
	/** Replicas that ended under requests with a crashing part. */
	readonly ended: number;
	/** Requests with a crashing part that were sent after the fifth such end under it, and of those the ones sent later than 3 s after it. */
	readonly sentAfterFifth: number;
	readonly sentLate: number;
	/** Requests without a crashing part, and of those that were held back. */
	readonly sound: number;
	readonly soundHeld: number;
};

type Request = {
	readonly parts: readonly PartKey[];
	readonly crashing: PartKey | undefined;
	runsLeft: number;
};

type Run = {
	readonly request: Request;
	readonly front: PartTable;
	readonly isTrial: boolean;
	readonly startedAt: number;
	readonly endsAt: number;
	reportedVersion: number;
};

type Engine = {record: ReplicaRecord; downUntil: number; runs: Run[]};

/** Times in milliseconds, see the head of the module. */
const lengthMs = 30_000;
const stepMs = 5;
const queueMs = 40;
const soundMs = 800;
const wellUnderWayMs = queueMs + 400;
const downMs = 3200;
const announcementMs = 10;
const heartbeatMs = 250;
const contactMs = 3000;
const fifthCrash = 5;

const frontsOfCell = 5;
const enginesOfCell = 13;
const perSecondOfCell = 60;
const slots = 8;
const callersOfCell = 20;
const routes = 2;
const runsPerRequest = 2;
const samples = 4;

const waves: ReadonlyArray<readonly [from: number, to: number]> = [[3000, 8000], [20_000, lengthMs]];

const keysOf = (...ids: readonly string[]): readonly PartKey[] => partKeysOf([...ids, 'f'].map(id => ({id, tokens: 1})));

/** Times at which half of the replicas end at once, in milliseconds; a crashed one is back before the next. */
export const outagesAt = [3000, 6500, 10_000, 13_500, 17_000];

/** The simulation. */
export class PartCrashModel {
	readonly #load: PartLoad;
	readonly #tables: readonly PartTable[];
	readonly #shared: ReturnType<NonNullable<PartLoad['sharedTable']>> | undefined;
	readonly #quarantines: readonly PartQuarantine[] = [];
	readonly #engines: Engine[];
	readonly #deliveries: Array<{readonly at: number; readonly deliver: () => void}> = [];
	readonly #crashes = new Map<PartKey, number>();
	readonly #fifthAt = new Map<PartKey, number>();
	#now = 0;
	#ended = 0;
	#sentAfterFifth = 0;
	#sentLate = 0;
	#sound = 0;
	#soundHeld = 0;

	constructor(load: PartLoad) {
		this.#load = load;
		const clock: Clock = {now: () => this.#now, wall: () => this.#now, sleep: async () => undefined};
		const cells = load.fronts / frontsOfCell;
		this.#engines = Array.from({length: Math.round(cells * enginesOfCell)}, (_, i) => ({record: registrationOf(`r${i}`), downUntil: 0, runs: []}));
		this.#shared = load.sharedTable?.(clock);
		if (this.#shared) {
			this.#tables = Array.from({length: load.fronts}, () => this.#shared!);
			return;
		}

		this.#quarantines = Array.from({length: load.fronts}, (_, i) => new PartQuarantine({
			self: branded<MemberName>(`front-${i}`), clock, log: {emit: () => undefined}, trialRank: part => (part.length + i) % load.fronts,
		}));
		this.#tables = this.#quarantines;
		this.#quarantines.forEach(quarantine => {
			quarantine.onAnnouncementDue(() => {
				this.#announce(quarantine);
			});
		});
	}

	simulate(): PartOutcome {
		for (; this.#now < lengthMs; this.#now += stepMs) {
			this.#arrive();
			this.#deliver();
			this.#abortHeld();
			this.#endRuns();
			this.#reportSound();
			this.#applyOutage();
			if (this.#now % heartbeatMs === 0) {
				this.#quarantines.forEach(quarantine => {
					this.#announce(quarantine);
				});
			}
		}

		return {
			ended: this.#ended, sentAfterFifth: this.#sentAfterFifth, sentLate: this.#sentLate, sound: this.#sound, soundHeld: this.#soundHeld,
		};
	}

	#announce(quarantine: PartQuarantine) {
		const {partCrashes = [], clearedParts = []} = quarantine.announcement();
		if (partCrashes.length + clearedParts.length === 0) {
			return;
		}

		this.#deliveries.push({
			at: this.#now + announcementMs,
			deliver: () => {
				this.#quarantines.filter(other => other !== quarantine).forEach(other => {
					other.receiveCrashes(partCrashes);
					other.receiveCleared(clearedParts);
				});
			},
		});
	}

	#deliver() {
		const due = this.#deliveries.filter(({at}) => at <= this.#now);
		due.forEach(delivery => {
			this.#deliveries.splice(this.#deliveries.indexOf(delivery), 1);
			delivery.deliver();
		});
	}

	#arrive() {
		const {fronts, crashingParts, crashingPerSecond} = this.#load;
		const cells = fronts / frontsOfCell;
		this.#times(cells * perSecondOfCell, () => {
			const caller = Math.floor(this.#random() * cells * callersOfCell);
			this.#sound += 1;
			this.#run({parts: keysOf(`a${caller % routes}`, `c${caller}`), crashing: undefined, runsLeft: runsPerRequest});
		});
		if (!waves.some(([from, to]) => from <= this.#now && this.#now < to)) {
			return;
		}

		Array.from({length: crashingParts}).forEach((_, i) => {
			const parts = keysOf(`a${i % routes}`, `c${i}`, `bad${i}`);
			this.#times(crashingPerSecond, () => {
				this.#run({parts, crashing: parts.at(-1), runsLeft: runsPerRequest});
			});
		});
	}

	#random(): number {
		return this.#load.random.next();
	}

	/** Calls the function as often as something happens in one step that happens so often a second. */
	#times(perSecond: number, callback: () => void) {
		const mean = perSecond * stepMs / 1000;
		const count = Math.floor(mean) + (this.#random() < mean % 1 ? 1 : 0);
		Array.from({length: count}).forEach(() => {
			callback();
		});
	}

	#run(request: Request) {
		const front = this.#tables[Math.floor(this.#random() * this.#tables.length)]!;
		this.#shared?.noteRequest(request.parts);
		const isTrial = front.isTrialDue(request.parts);
		if (isTrial) {
			front.startTrial(request.parts);
		} else if (front.heldMs(request.parts) > 0) {
			this.#soundHeld += request.crashing ? 0 : 1;
			return;
		}

		this.#send(request, front, isTrial);
	}

	#send(request: Request, front: PartTable, isTrial = false) {
		const engine = this.#choose();
		if (!engine) {
			return;
		}

		request.runsLeft -= 1;
		this.#countSent(request);
		const runMs = request.crashing ? 40 + (80 * this.#random()) : soundMs;
		engine.runs.push({
			request, front, isTrial, startedAt: this.#now, endsAt: this.#now + queueMs + runMs, reportedVersion: 0,
		});
	}

	#choose(): Engine | undefined {
		const sampled = Array.from({length: samples}, () => this.#engines[Math.floor(this.#random() * this.#engines.length)]!);
		const open = (engines: readonly Engine[]) => engines.filter(({downUntil, runs}) => downUntil <= this.#now && runs.length < slots);
		const candidates = open(sampled).length > 0 ? open(sampled) : open(this.#engines);
		return candidates.toSorted((a, b) => a.runs.length - b.runs.length)[0];
	}

	#countSent({crashing}: Request) {
		const fifthAt = crashing && this.#fifthAt.get(crashing);
		if (fifthAt !== undefined) {
			this.#sentAfterFifth += 1;
			this.#sentLate += this.#now > fifthAt + contactMs ? 1 : 0;
		}
	}

	#endRuns() {
		this.#engines.filter(({runs}) => runs.some(({endsAt}) => endsAt <= this.#now)).forEach(engine => {
			const done = engine.runs.filter(({endsAt}) => endsAt <= this.#now);
			const cause = done.find(({request}) => request.crashing);
			if (cause) {
				this.#countCrash(cause.request.crashing!);
				this.#crash(engine);
				return;
			}

			engine.runs = engine.runs.filter(run => !done.includes(run));
			done.forEach(({front, request}) => {
				front.noteSound(request.parts);
			});
		});
	}

	#countCrash(part: PartKey) {
		const count = (this.#crashes.get(part) ?? 0) + 1;
		this.#crashes.set(part, count);
		this.#ended += 1;
		if (count === fifthCrash) {
			this.#fifthAt.set(part, this.#now);
		}
	}

	/** Fronts abort what is held back and has not been answered for a while. */
	#abortHeld() {
		this.#engines.forEach(engine => {
			const held = engine.runs.filter(({startedAt, isTrial, front, request}) => !isTrial && this.#now - startedAt < wellUnderWayMs && front.heldMs(request.parts) > 0);
			this.#soundHeld += held.filter(({request}) => !request.crashing).length;
			engine.runs = engine.runs.filter(run => !held.includes(run));
		});
	}

	#reportSound() {
		this.#engines.forEach(({runs}) => {
			runs.filter(({startedAt, front, reportedVersion}) => this.#now - startedAt >= wellUnderWayMs && front.version !== reportedVersion).forEach(run => {
				run.front.noteSound(run.request.parts);
				run.reportedVersion = run.front.version;
			});
		});
	}

	#applyOutage() {
		if (!this.#load.outagesAt?.some(at => at <= this.#now && this.#now < at + stepMs)) {
			return;
		}

		this.#engines.filter(({downUntil}, i) => downUntil <= this.#now && i % 2 === 0).forEach(engine => {
			this.#crash(engine);
		});
	}

	#crash(engine: Engine) {
		const {runs, record} = engine;
		Object.assign(engine, {downUntil: this.#now + downMs, runs: [], record: {...record, startedAt: this.#now + downMs}});
		runs.forEach(({front, request, startedAt}) => {
			front.noteCrash(this.#now - startedAt >= wellUnderWayMs ? [] : request.parts, record);
		});
		runs.filter(({request}) => request.runsLeft > 0).forEach(({request, front}) => {
			if (front.heldMs(request.parts) === 0) {
				this.#send(request, front);
			}
		});
	}
}
