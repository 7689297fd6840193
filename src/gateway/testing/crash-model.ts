/**
Simulates a service with a few requests that repeatedly crash its replicas, in virtual time and without a network.

The load is that of departure boards on the users' deployments: 13 replicas of 8 slots, and calls of 0.8 s that fill about half of them. A call whose replica crashes is rerun once at another replica, and its caller sends it once more. A poison request crashes its replica 0.1 s after it has started and is sent again 0.15 s after each failure; a crashed replica is back after 3.2 s.
*/
import type {RandomSource} from '../../common/services.js';

/** The simulated load. */
export type PoisonLoad = {
	/** Number of poison requests, which are sent again after each failure. */
	readonly poison: number;
	readonly perSecond: number;
	/** Number of crashes during a request after which it is quarantined. */
	readonly crashThreshold: number;
	readonly random: RandomSource;
	/** How a crash is attributed to the requests on the replica; `each` by default. */
	readonly blame?: Blame;
	/** Share of the ordinary calls that have identical content. */
	readonly popularShare?: number;
	/** Times at which half of the replicas crash at once without being caused by a request, in milliseconds. */
	readonly outagesAt?: readonly number[];
};

/** `each`: one crash for each request on the replica. `shared`: one crash in total, divided equally. */
export type Blame = 'each' | 'shared';

const blameWeights: Readonly<Record<Blame, (requests: number) => number>> = {
	each: () => 1,
	shared: requests => 1 / requests,
};

/** The result of a simulation. */
export type PoisonOutcome = {
	/** Number of crashes. */
	readonly ended: number;
	/** Number of ordinary requests, of those wrongly quarantined, and of those without a complete answer for another reason. */
	readonly ordinary: number;
	readonly heldWrongly: number;
	readonly lost: number;
	/** Number of requests with the popular content, and of those quarantined. */
	readonly popular: number;
	readonly popularHeld: number;
};

type Request = {
	readonly content: string;
	readonly isPoison: boolean;
	readonly isPopular: boolean;
	runsLeft: number;
	attemptsLeft: number;
};

type Run = {readonly request: Request; readonly endsAt: number};

type Engine = {downUntil: number; runs: Run[]};

/** Times in milliseconds, see the head of the module. */
const lengthMs = 30_000;
const stepMs = 5;
const engines = 13;
const slots = 8;
const ordinaryMs = 800;
const poisonMs = 100;
const retryDelayMs = 150;
const downMs = 3200;
const firstHoldMs = 30_000;
const runsPerAttempt = 2;
const attemptsPerCaller = 2;

/** The simulation. */
export class CrashModel {
	readonly #load: PoisonLoad;
	/** Weight of the crashes attributed to each content, and the time of the last one. */
	readonly #suspicions = new Map<string, {weight: number; lastCrashAt: number}>();
	readonly #engines: Engine[] = Array.from({length: engines}, () => ({downUntil: 0, runs: []}));

	readonly #due: Array<{readonly at: number; readonly request: Request}> = [];
	#now = 0;
	#ended = 0;
	#ordinary = 0;
	#heldWrongly = 0;
	#lost = 0;
	#popular = 0;
	#popularHeld = 0;

	constructor(load: PoisonLoad) {
		this.#load = load;
	}

	simulate(): PoisonOutcome {
		const {poison, perSecond, random} = this.#load;
		Array.from({length: poison}).forEach((_, i) => {
			this.#due.push({at: 1000 + (700 * i), request: this.#request(`poison ${i}`, true)});
		});
		for (; this.#now < lengthMs; this.#now += stepMs) {
			if (random.next() < perSecond * stepMs / 1000) {
				this.#ordinary += 1;
				this.#run(this.#nextOrdinary());
			}

			this.#runDue();
			this.#endRuns();
			this.#applyOutage();
		}

		return {
			ended: this.#ended, ordinary: this.#ordinary, heldWrongly: this.#heldWrongly, lost: this.#lost, popular: this.#popular, popularHeld: this.#popularHeld,
		};
	}

	#nextOrdinary(): Request {
		const {popularShare = 0, random} = this.#load;
		if (popularShare === 0 || random.next() >= popularShare) {
			return this.#request(`ordinary ${this.#ordinary}`, false);
		}

		this.#popular += 1;
		return {...this.#request('popular', false), isPopular: true};
	}

	#request(content: string, isPoison: boolean): Request {
		return {
			content, isPoison, isPopular: false, runsLeft: runsPerAttempt, attemptsLeft: isPoison ? Infinity : attemptsPerCaller,
		};
	}

	/** Crashes half of the replicas at once, without a poison request as the cause. */
	#applyOutage() {
		if (!this.#load.outagesAt?.some(at => at <= this.#now && this.#now < at + stepMs)) {
			return;
		}

		this.#engines.filter(({downUntil}, i) => downUntil <= this.#now && i % 2 === 0).forEach(engine => {
			this.#crash(engine);
		});
	}

	#isHeld({content}: Request): boolean {
		const suspicion = this.#suspicions.get(content);
		const excess = (suspicion?.weight ?? 0) - this.#load.crashThreshold;
		return suspicion !== undefined && excess >= 0 && this.#now < suspicion.lastCrashAt + (firstHoldMs * (2 ** Math.floor(excess)));
	}

	#runDue() {
		const due = this.#due.filter(({at}) => at <= this.#now);
		due.forEach(entry => {
			this.#due.splice(this.#due.indexOf(entry), 1);
			this.#run(entry.request);
		});
	}

	#run(request: Request) {
		if (this.#isHeld(request)) {
			this.#heldWrongly += request.isPoison ? 0 : 1;
			this.#popularHeld += request.isPopular ? 1 : 0;
			return;
		}

		const {random} = this.#load;
		const open = this.#engines.filter(({downUntil, runs}) => downUntil <= this.#now && runs.length < slots);
		const [engine] = open.toSorted((a, b) => a.runs.length - b.runs.length || random.next() - 0.5);
		if (!engine) {
			this.#endAttempt(request);
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
				this.#suspicions.delete(request.content);
			});
		});
	}

	#crash(engine: Engine) {
		const {runs} = engine;
		Object.assign(engine, {downUntil: this.#now + downMs, runs: []});
		this.#ended += 1;
		const contents = new Set(runs.map(({request}) => request.content));
		contents.forEach(content => {
			const before = this.#suspicions.get(content)?.weight ?? 0;
			this.#suspicions.set(content, {weight: before + blameWeights[this.#load.blame ?? 'each'](contents.size), lastCrashAt: this.#now});
		});
		runs.forEach(({request}) => {
			if (request.runsLeft > 0) {
				this.#run(request);
			} else {
				this.#endAttempt(request);
			}
		});
	}

	#endAttempt(request: Request) {
		request.attemptsLeft -= 1;
		request.runsLeft = runsPerAttempt;
		if (request.attemptsLeft > 0) {
			this.#due.push({at: this.#now + retryDelayMs, request});
		} else {
			this.#lost += 1;
		}
	}
}
