/**
Settings of a load: who asks for what, how often and for how long. Everything is bounded in count and in time, and entries must be on loopback.
*/
import * as z from 'zod';
import {parseAddress} from '../io/address.js';
import {addressSchema, countOf, durationMs} from '../io/settings-schemas.js';

const maxSeconds = 3600;
const maxRequests = 1_000_000;
const maxInFlight = 5000;

const isLoopback = (text: string) => {
	const host = parseAddress(text)?.host ?? '';
	return host.startsWith('127.') || host === '::1';
};

const loopbackAddress = addressSchema.refine(isLoopback, 'wants an address on loopback: this program loads only the machine it runs on');

/** A whole number drawn evenly from `min` to `max`. */
const rangeOf = (min: number, max: number) => z.strictObject({min: countOf(min), max: countOf(max)}).prefault({});

/** What the load program reads from its settings file. */
export const loadSettingsSchema = z.strictObject({
	/** Requests go to these in turn. */
	entries: z.array(loopbackAddress).min(1),
	/** Requests are drawn from these by weight. */
	accounts: z.array(z.strictObject({name: z.string().min(1), apiKey: z.string().min(1), weight: z.number().positive().default(1)})).min(1),
	seconds: z.number().positive().max(maxSeconds).default(10),
	/** Online requests and calls in all, at most; later arrivals are left out and counted. */
	maxRequests: z.int().min(1).max(maxRequests).default(10_000),
	/** Open requests at most; an arrival beyond is left out and counted, never delayed. */
	maxInFlight: z.int().min(1).max(maxInFlight).default(1000),
	/** When a caller gives up. */
	timeoutMs: durationMs(60_000),
	seed: z.int().default(1),
	online: z.strictObject({
		model: z.string().min(1),
		perSecond: z.number().min(0),
		/** Share of requests that are streams, 0 to 1. */
		streamShare: z.number().min(0).max(1).default(1),
		promptCharacters: rangeOf(80, 400),
		answerTokens: rangeOf(8, 64),
		/** Different beginnings that prompts share, as sessions do; 0: none is shared. */
		sharedPrefixes: countOf(0),
		prefixCharacters: countOf(800),
	}).optional(),
	calls: z.strictObject({
		service: z.string().min(1),
		perSecond: z.number().min(0),
		method: z.string().default('POST'),
		path: z.string().startsWith('/').default('/'),
	}).optional(),
	batch: z.strictObject({
		model: z.string().min(1),
		jobs: z.int().min(1).max(100).default(1),
		itemsPerJob: z.int().min(1).max(100_000),
		answerTokens: countOf(32),
		/** How long the end of the jobs is waited for after the online load. */
		waitMs: durationMs(60_000),
	}).optional(),
});

/** See {@link loadSettingsSchema}. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;
