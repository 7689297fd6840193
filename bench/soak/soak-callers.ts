/**
The online callers of a soak. Each request's prompt or marker is its own, so that every answer can be told from every other, and what each caller was told is kept for the check.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '../../src/common/services.js';
import {poissonArrivals} from '../../src/load/arrivals.js';
import {Caller, type CallerAnswer} from '../../src/load/caller.js';
import {expectedTokens} from '../../src/standins/expected-tokens.js';
import {promptTextOf} from '../../src/standins/prompt-text.js';
import {soakNames, type SoakFleet} from './soak-fleet.js';

/** Which part of the soak a request was begun in. */
export type SoakPhase = 'plannedStops' | 'faults';

/** One try of a request at one entry. */
export type SoakTry = {
	readonly entry: string;
	readonly from: number;
	readonly until: number;
	readonly answer: CallerAnswer;
};

/** Kinds of online request. */
export type SoakKind = 'stream' | 'whole' | 'post' | 'keyedPost' | 'get';

/** A request with everything that its caller was told. */
export type SoakRequest = {
	readonly kind: SoakKind;
	readonly phase: SoakPhase;
	/** The marker of a call; the prompt of a generation. */
	readonly marker: string;
	/** The text of the whole answer to a generation. */
	readonly expected: string;
	readonly tries: readonly SoakTry[];
};

const timeoutMs = 30_000;
const maxTries = 4;
const retryMs = 300;
const balancerMs = 200;
const maxTokens = 48;

/** The answer that the engine stand-in must give. */
export const expectedAnswer = (prompt: string, tokens: number): string => expectedTokens(promptTextOf({messages: [{role: 'user', content: prompt}]}), tokens).join('');

type Send = (callers: SoakCallers, marker: string, address: string) => Promise<CallerAnswer>;

const generate = (stream: boolean): Send => async (callers, prompt, address) => callers.caller.generate({
	model: soakNames.model, prompt, maxTokens, stream,
}, {address, apiKey: soakNames.apiKey, timeoutMs});

const call = (method: string, isKeyed: boolean): Send => async (callers, marker, address) => callers.caller.call({
	service: soakNames.service, method, path: '/gates/3?delayMs=250', headers: {'x-marker': marker, ...(isKeyed && {'idempotency-key': marker})},
}, {address, apiKey: soakNames.apiKey, timeoutMs});

const kinds: Readonly<Record<SoakKind, {readonly weight: number; readonly send: Send; readonly isRepeated: boolean}>> = {
	stream: {weight: 5, send: generate(true), isRepeated: false},
	whole: {weight: 3, send: generate(false), isRepeated: false},
	post: {weight: 6, send: call('POST', false), isRepeated: false},
	keyedPost: {weight: 3, send: call('POST', true), isRepeated: true},
	get: {weight: 1, send: call('GET', false), isRepeated: false},
};

/** Sends requests to the entries that a balancer would choose. */
export class SoakCallers {
	readonly caller = new Caller();
	readonly requests: SoakRequest[] = [];
	readonly #fleet: SoakFleet;
	readonly #random: RandomSource;
	#healthy: readonly string[];
	#disposed = false;

	constructor(fleet: SoakFleet, random: RandomSource) {
		this.#fleet = fleet;
		this.#random = random;
		this.#healthy = fleet.entryVms;
		void this.#followHealth();
	}

	/** Sends so many requests a second for so long, and waits until all have ended. */
	async run(phase: SoakPhase, perSecond: number, seconds: number): Promise<void> {
		const startedAt = performance.now();
		const open: Array<Promise<void>> = [];
		for (const at of poissonArrivals(perSecond, seconds, this.#random)) {
			await sleep(Math.max(0, startedAt + at - performance.now()));
			open.push(this.#request(phase));
		}

		await Promise.all(open);
	}

	/** An entry that the balancer would choose now. */
	pickEntry(): string {
		const choice = this.#healthy.length > 0 ? this.#healthy : this.#fleet.entryVms;
		return choice[Math.floor(this.#random.next() * choice.length)]!;
	}

	/** The `ip:port` of such an entry. */
	pickAddress(): string {
		return this.#fleet.processes.get(this.pickEntry()).address;
	}

	dispose(): void {
		this.#disposed = true;
		this.caller.dispose();
	}

	async #request(phase: SoakPhase) {
		const kind = this.#drawKind();
		const marker = `soak request ${this.requests.length}: is truck ${Math.floor(this.#random.next() * 1000)} safe?`;
		const tries: SoakTry[] = [];
		this.requests.push({
			kind, phase, marker, expected: expectedAnswer(marker, maxTokens), tries,
		});
		do {
			tries.push(await this.#try(kind, marker));
			await sleep(kinds[kind].isRepeated ? retryMs : 0);
		} while (kinds[kind].isRepeated && tries.at(-1)!.answer.kind !== 'whole' && tries.length < maxTries);
	}

	async #try(kind: SoakKind, marker: string): Promise<SoakTry> {
		const entry = this.pickEntry();
		const from = performance.now();
		const answer = await kinds[kind].send(this, marker, this.#fleet.processes.get(entry).address);
		return {
			entry, from, until: performance.now(), answer,
		};
	}

	#drawKind(): SoakKind {
		const all = Object.entries(kinds) as Array<[SoakKind, (typeof kinds)[SoakKind]]>;
		let left = this.#random.next() * all.reduce((sum, [, {weight}]) => sum + weight, 0);
		return (all.find(([, {weight}]) => {
			left -= weight;
			return left < 0;
		}) ?? all[0]!)[0];
	}

	async #followHealth() {
		while (!this.#disposed) {
			this.#healthy = await this.#fleet.healthyEntries();
			await sleep(balancerMs);
		}
	}
}
