/**
Draws the requests of a load. All of them are drawn before the load starts, in one order from one seed, so that the same settings give the same load whatever the answers do.
*/
import type {RandomSource} from '../common/services.js';
import {poissonArrivals} from './arrivals.js';
import type {GenerationCall, ServiceCall} from './caller.js';
import type {LoadSettings} from './settings.js';

/** An account with its key. */
export type LoadAccount = LoadSettings['accounts'][number];

/** One request of a load. */
export type PlannedRequest = {
	/** Milliseconds from the start of the load. */
	readonly at: number;
	readonly address: string;
	readonly account: LoadAccount;
} & ({readonly kind: 'stream' | 'whole'; readonly call: GenerationCall} | {readonly kind: 'call'; readonly call: ServiceCall});

const words = ['tyre', 'pressure', 'axle', 'shift', 'board', 'stop', 'line', 'notice', 'kiosk', 'gate', 'quarry', 'rear', 'left', 'late', 'wear', 'note'];

type Range = {readonly min: number; readonly max: number};

const between = ({min, max}: Range, random: RandomSource) => min + Math.floor(random.next() * (Math.max(min, max) - min + 1));

/** Text of about so many characters, each draw another one. */
const textOf = (characters: number, random: RandomSource): string => {
	let text = '';
	while (text.length < characters) {
		text += `${words[Math.floor(random.next() * words.length)]} `;
	}

	return text;
};

const byWeight = (accounts: readonly LoadAccount[], random: RandomSource): LoadAccount => {
	let left = random.next() * accounts.reduce((sum, {weight}) => sum + weight, 0);
	return accounts.find(account => {
		left -= account.weight;
		return left < 0;
	}) ?? accounts.at(-1)!;
};

/** Plans the online requests and calls of a load. */
export class LoadMix {
	readonly #settings: LoadSettings;
	readonly #random: RandomSource;
	readonly #prefixes: readonly string[];
	#count = 0;

	constructor(settings: LoadSettings, random: RandomSource) {
		this.#settings = settings;
		this.#random = random;
		const {sharedPrefixes = 0, prefixCharacters = 0} = settings.online ?? {};
		this.#prefixes = Array.from({length: sharedPrefixes}, () => textOf(prefixCharacters, random));
	}

	/** All requests in the order of their moments. */
	plan(): PlannedRequest[] {
		const {seconds, online, calls} = this.#settings;
		const generations = poissonArrivals(online?.perSecond ?? 0, seconds, this.#random).map(at => this.#generation(at));
		const serviceCalls = poissonArrivals(calls?.perSecond ?? 0, seconds, this.#random).map(at => this.#serviceCall(at));
		return [...generations, ...serviceCalls].toSorted((a, b) => a.at - b.at);
	}

	#generation(at: number): PlannedRequest {
		const online = this.#settings.online!;
		const stream = this.#random.next() < online.streamShare;
		const prefix = this.#prefixes[Math.floor(this.#random.next() * this.#prefixes.length)] ?? '';
		return {
			...this.#common(at),
			kind: stream ? 'stream' : 'whole',
			call: {
				model: online.model,
				prompt: `${prefix}${textOf(between(online.promptCharacters, this.#random), this.#random)}#${this.#count}`,
				maxTokens: Math.max(1, between(online.answerTokens, this.#random)),
				stream,
			},
		};
	}

	#serviceCall(at: number): PlannedRequest {
		const {service, method, path} = this.#settings.calls!;
		const common = this.#common(at);
		return {
			...common,
			kind: 'call',
			call: {
				service, method, path, headers: {'x-marker': `load-${this.#settings.seed}-${this.#count}`},
			},
		};
	}

	#common(at: number) {
		this.#count += 1;
		const {entries, accounts} = this.#settings;
		return {at, address: entries[this.#count % entries.length]!, account: byWeight(accounts, this.#random)};
	}
}
