/**
Arrivals and prompts for the models: Poisson arrivals at a rate that may change with time, and prompts with a shared start.
*/
import type {RandomSource} from '../../src/common/services.js';
import {charactersPerToken} from '../../src/common/prompt-text.js';
import type {VirtualTime} from './virtual-time.js';

const msPerSecond = 1000;

/** A pause until the next of events that come independently of one another. */
export const exponentialMs = (ratePerSecond: number, random: RandomSource) => -Math.log(1 - random.next()) / ratePerSecond * msPerSecond;

/** Calls `arrive` at Poisson times until `untilMs`. */
export const poisson = (time: VirtualTime, random: RandomSource, options: {readonly untilMs: number; readonly rate: () => number; readonly arrive: () => void}): void => {
	const next = () => {
		if (time.now() >= options.untilMs) {
			return;
		}

		options.arrive();
		time.after(exponentialMs(options.rate(), random), next);
	};

	time.after(exponentialMs(options.rate(), random), next);
};

/** Text of a number of tokens that no other name yields. */
export const textOf = (name: string, tokens: number) => `${name} `.repeat(Math.ceil(tokens * charactersPerToken / (name.length + 1))).slice(0, tokens * charactersPerToken);

/** A value of sorted ones; not a number when there are none. */
export const quantile = (values: readonly number[], share: number): number => {
	const sorted = Float64Array.from(values).toSorted();
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
};
