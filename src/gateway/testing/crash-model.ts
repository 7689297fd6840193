/**
A service whose replicas a few requests end, again and again, in virtual time and without a network.

The load is that of departure boards on the users' deployments: 13 replicas of 8 places, calls of 0.8 s that fill about half of them. A call that loses its replica is run once more at another one, and its caller sends it once more. A poison request ends its replica 0.1 s after it has begun; it comes again 0.15 s after each failure, and its replica is back after 3.2 s.
*/
import type {RandomSource} from '../../common/services.js';
import type {ContentDigest} from '../quarantine/content-digest.js';
import {CrashMemory, type ReplicaStart} from '../quarantine/crash-memory.js';

/** The load. */
export type PoisonLoad = {
	/** Poison requests that come again and again. */
	readonly poison: number;
	readonly perSecond: number;
	/** Replicas that may end under a request before it is held back. */
	readonly enoughCrashes: number;
	readonly random: RandomSource;
};

/** What came of it. */
export type PoisonOutcome = {
	/** Replicas that ended. */
	readonly ended: number;
	/** Ordinary requests in all, and those of them that were held back, or got no whole answer for another reason. */
	readonly ordinary: number;
	readonly heldWrongly: number;
	readonly lost: number;
};

type Request = {
	readonly content: ContentDigest;
	readonly isPoison: boolean;
	runsLeft: number;
	triesLeft: number;
};

type Run = {readonly request: Request; readonly endsAt: number};

type Engine = {name: string; starts: number; downUntil: number; runs: Run[]};

/** Times in milliseconds, as the head tells them. */
const lengthMs = 30_000;
const stepMs = 5;
const engines = 13;
const places = 8;
const ordinaryMs = 800;
const poisonMs = 100;
const comesAgainMs = 150;
const awayMs = 3200;
const runsOfTry = 2;
const triesOfCaller = 2;

/** See the module's head. */
export class CrashModel {
	readonly #load: PoisonLoad;
	readonly #memory = new CrashMemory();
	readonly #engines: Engine[] = Array.from({length: engines}, (_, i) => ({
		name: `e${i}`, starts: 1, downUntil: 0, runs: [],
	}));

	readonly #due: Array<{readonly at: number; readonly request: Request}> = [];
	#now = 0;
	#ended = 0;
	#ordinary = 0;
	#heldWrongly = 0;
	#lost = 0;

	constructor(load: PoisonLoad) {
		this.#load = load;
	}

	play(): PoisonOutcome {
		const {poison, perSecond, random} = this.#load;
		Array.from({length: poison}).forEach((_, i) => {
			this.#due.push({at: 1000 + (700 * i), request: this.#request(`poison ${i}`, true)});
		});
		for (; this.#now < lengthMs; this.#now += stepMs) {
			if (random.next() < perSecond * stepMs / 1000) {
				this.#ordinary += 1;
				this.#run(this.#request(`ordinary ${this.#ordinary}`, false));
			}

			this.#takeDue();
			this.#endRuns();
		}

		return {
			ended: this.#ended, ordinary: this.#ordinary, heldWrongly: this.#heldWrongly, lost: this.#lost,
		};
	}

	#request(content: string, isPoison: boolean): Request {
		return {
			content: content as ContentDigest, isPoison, runsLeft: runsOfTry, triesLeft: isPoison ? Infinity : triesOfCaller,
		};
	}

	#takeDue() {
		const due = this.#due.filter(({at}) => at <= this.#now);
		due.forEach(entry => {
			this.#due.splice(this.#due.indexOf(entry), 1);
			this.#run(entry.request);
		});
	}

	#run(request: Request) {
		if (this.#memory.countOf(request.content) >= this.#load.enoughCrashes) {
			this.#heldWrongly += request.isPoison ? 0 : 1;
			return;
		}

		const {random} = this.#load;
		const open = this.#engines.filter(({downUntil, runs}) => downUntil <= this.#now && runs.length < places);
		const [engine] = open.toSorted((a, b) => a.runs.length - b.runs.length || random.next() - 0.5);
		if (!engine) {
			this.#endTry(request);
			return;
		}

		request.runsLeft -= 1;
		engine.runs.push({request, endsAt: this.#now + (request.isPoison ? poisonMs : ordinaryMs)});
	}

	#endRuns() {
		this.#engines.forEach(engine => {
			const done = engine.runs.filter(({endsAt}) => endsAt <= this.#now);
			if (done.some(({request}) => request.isPoison)) {
				this.#crash(engine);
				return;
			}

			engine.runs = engine.runs.filter(({endsAt}) => endsAt > this.#now);
			done.forEach(({request}) => {
				this.#memory.forget(request.content);
			});
		});
	}

	#crash(engine: Engine) {
		const {runs} = engine;
		const start = `${engine.name}/${engine.starts}` as ReplicaStart;
		Object.assign(engine, {starts: engine.starts + 1, downUntil: this.#now + awayMs, runs: []});
		this.#ended += 1;
		runs.forEach(({request: {content}}) => {
			this.#memory.note({content, start}, this.#now);
		});
		runs.forEach(({request}) => {
			if (request.runsLeft > 0) {
				this.#run(request);
			} else {
				this.#endTry(request);
			}
		});
	}

	#endTry(request: Request) {
		request.triesLeft -= 1;
		request.runsLeft = runsOfTry;
		if (request.triesLeft > 0) {
			this.#due.push({at: this.#now + comesAgainMs, request});
		} else {
			this.#lost += 1;
		}
	}
}
