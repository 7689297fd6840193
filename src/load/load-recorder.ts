/**
What a load found: outcomes and latencies by kind of request, and what each account received.
*/
import type {CallerAnswer} from './caller.js';
import {LatencyHistogram, type LatencySummary} from './latency-histogram.js';
import type {PlannedRequest} from './load-mix.js';

/** How requests of one kind ended. `notRun` counts the errors that say so. */
export type OutcomeCounts = {
	planned: number;
	whole: number;
	notRun: number;
	error: number;
	cut: number;
	lost: number;
	/** Left out because too many were open, or the limit of requests was reached. */
	leftOut: number;
};

/** Figures of one kind of request; latencies count from when the request was to start. */
export type KindReport = OutcomeCounts & {
	readonly answeredMs: LatencySummary;
	readonly firstTokenMs?: LatencySummary;
	readonly betweenTokensMs?: LatencySummary;
};

/** What one account received. */
export type AccountReport = {whole: number; tokens: number};

type RequestKind = PlannedRequest['kind'];

const noCounts = (): OutcomeCounts => ({
	planned: 0, whole: 0, notRun: 0, error: 0, cut: 0, lost: 0, leftOut: 0,
});

class KindRecord {
	readonly counts = noCounts();
	readonly answered = new LatencyHistogram();
	readonly firstToken = new LatencyHistogram();
	readonly betweenTokens = new LatencyHistogram();
}

/** Collects what one load finds. */
export class LoadRecorder {
	readonly #kinds = new Map<RequestKind, KindRecord>();
	readonly #accounts = new Map<string, AccountReport>();

	planned(request: PlannedRequest): void {
		this.#kind(request.kind).counts.planned += 1;
	}

	leftOut(request: PlannedRequest): void {
		this.#kind(request.kind).counts.leftOut += 1;
	}

	/** @param ms - Since the request was to start, or since the token before. */
	token(request: PlannedRequest, isFirst: boolean, ms: number): void {
		const kind = this.#kind(request.kind);
		(isFirst ? kind.firstToken : kind.betweenTokens).record(ms);
		this.#account(request).tokens += 1;
	}

	/** @param ms - Since the request was to start. */
	ended(request: PlannedRequest, answer: CallerAnswer, ms: number): void {
		const {counts, answered} = this.#kind(request.kind);
		const isNotRun = answer.kind === 'error' && answer.run === 'not-run';
		counts[isNotRun ? 'notRun' : answer.kind] += 1;
		if (answer.kind === 'whole') {
			answered.record(ms);
			this.#account(request).whole += 1;
		}
	}

	get kinds(): Readonly<Record<string, KindReport>> {
		return Object.fromEntries([...this.#kinds].map(([name, {counts, answered, firstToken, betweenTokens}]) => [name, {
			...counts,
			answeredMs: answered.summary,
			...(name === 'stream' && {firstTokenMs: firstToken.summary, betweenTokensMs: betweenTokens.summary}),
		}]));
	}

	get accounts(): Readonly<Record<string, AccountReport>> {
		return Object.fromEntries(this.#accounts);
	}

	#kind(kind: RequestKind): KindRecord {
		const known = this.#kinds.get(kind) ?? new KindRecord();
		this.#kinds.set(kind, known);
		return known;
	}

	#account({account}: PlannedRequest): AccountReport {
		const known = this.#accounts.get(account.name) ?? {whole: 0, tokens: 0};
		this.#accounts.set(account.name, known);
		return known;
	}
}
