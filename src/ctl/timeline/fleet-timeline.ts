/**
What a fleet did, second by second, from the log lines of all its fronts: calls and batch items in flight, how calls ended, which runs of items were cut off or begun too late, when the object API was away, and jobs that nobody ran.

An engineer on call sees from it when a fleet was late, and what was going on then. Places that are free are not told: no line says how many a replica has.
*/
import {gatewayEvents} from '../../gateway/log-events.js';
import {platformEvents} from '../../io/log-events.js';
import {LatencyHistogram} from '../../load/latency-histogram.js';
import {textOf, type LogLine} from '../logs/log-line.js';
import {JobRunners} from './job-runners.js';

/** One second of the fleet. Times are of the processes' wall clocks. */
export type TimelineSecond = {
	/** When it begins, ISO 8601. */
	readonly at: string;
	/** Attempts of calls in flight at replicas, on the mean over the second. */
	readonly callsInFlight: number;
	readonly callsAnswered: number;
	readonly callsRefused: number;
	/** Ended without an answer of a replica and without a refusal that says "not run". */
	readonly callsFailed: number;
	/** Of the calls answered in this second, from their arrival to the first byte, in milliseconds. */
	readonly firstByteP50Ms: number;
	readonly firstByteP99Ms: number;
	/** Runs of items in flight at replicas, on the mean over the second. */
	readonly itemsInFlight: number;
	readonly runsBegun: number;
	/** Of these, runs of items whose due time had passed. */
	readonly runsBegunLate: number;
	readonly runsFinished: number;
	readonly runsCut: number;
	/** Processes that the object API did not answer, the most at a time. */
	readonly withoutObjectApi: number;
	/** Accepted jobs that no process ran, the most at a time. */
	readonly jobsWithoutRunner: number;
};

type CountName = Exclude<keyof TimelineSecond, 'at' | 'firstByteP50Ms' | 'firstByteP99Ms'>;

type Counts = Record<CountName, number>;

type Second = Counts & {readonly firstBytes: LatencyHistogram};

const newSecond = (): Second => ({
	callsInFlight: 0, callsAnswered: 0, callsRefused: 0, callsFailed: 0, itemsInFlight: 0, runsBegun: 0, runsBegunLate: 0, runsFinished: 0, runsCut: 0, withoutObjectApi: 0, jobsWithoutRunner: 0, firstBytes: new LatencyHistogram(),
});

/** An attempt of a call or a run of an item whose end has not been told yet. */
type InFlight = {readonly node: string; readonly since: number; readonly kind: 'callsInFlight' | 'itemsInFlight'};

const secondMs = 1000;

/** Statuses by which a call's end counts as a refusal: they say that it has not run. */
const refusals = new Set([408, 421, 429, 503]);

type Handler = (line: LogLine, at: number) => void;

/** See the module's head. Lines must be taken in the order of their times. */
export class FleetTimeline {
	readonly #seconds = new Map<number, Second>();
	readonly #inFlight = new Map<string, InFlight>();
	/** When each process wrote its last line. */
	readonly #lastLines = new Map<string, number>();
	readonly #feedsAway = new Map<string, Set<string>>();
	readonly #jobs = new JobRunners();
	#end = 0;

	readonly #handlers: Readonly<Record<number, Handler>> = {
		[platformEvents.programStarted.number]: ({node}) => {
			this.#noteAllOver(node);
			this.#feedsAway.delete(node);
			this.#jobs.noteStart(node);
		},
		[gatewayEvents.callRouted.number]: ({node, fields}, at) => {
			this.#noteBegun(textOf(fields.id), {node, since: at, kind: 'callsInFlight'});
		},
		[gatewayEvents.attemptFailed.number]: ({node, fields}, at) => {
			this.#noteOver(`${node} ${textOf(fields.id)}`, at);
		},
		[gatewayEvents.callEnded.number]: ({node, fields}, at) => {
			this.#noteOver(`${node} ${textOf(fields.id)}`, at);
			this.#noteEnd(fields, at);
		},
		[gatewayEvents.itemStarted.number]: ({node, fields}, at) => {
			this.#noteBegun(textOf(fields.item), {node, since: at, kind: 'itemsInFlight'});
			this.#secondOf(at).runsBegun += 1;
			this.#secondOf(at).runsBegunLate += Number(fields.dueInMs) < 0 ? 1 : 0;
		},
		[gatewayEvents.itemRunEnded.number]: ({node, fields}, at) => {
			this.#noteOver(`${node} ${textOf(fields.item)}`, at);
			this.#secondOf(at).runsFinished += fields.outcome === 'finished' ? 1 : 0;
			this.#secondOf(at).runsCut += fields.outcome === 'cut' ? 1 : 0;
		},
		[gatewayEvents.feedLost.number]: ({node, fields}, at) => {
			this.#feedsAway.set(node, new Set([...this.#feedsAway.get(node) ?? [], textOf(fields.kind)]));
			this.#noteState(at);
		},
		[gatewayEvents.feedRegained.number]: ({node, fields}) => {
			const away = this.#feedsAway.get(node);
			away?.delete(textOf(fields.kind));
			if (away?.size === 0) {
				this.#feedsAway.delete(node);
			}
		},
		[gatewayEvents.jobSubmitted.number]: ({fields}, at) => {
			if (fields.outcome === 'accepted') {
				this.#jobs.noteAccepted(textOf(fields.id), Number(fields.items));
				this.#noteState(at);
			}
		},
		[gatewayEvents.jobClaimChanged.number]: ({node, fields}, at) => {
			this.#jobs.noteClaim(textOf(fields.job), node, fields.claimed === true);
			this.#noteState(at);
		},
		[gatewayEvents.resultsCommitted.number]: ({fields}) => {
			if (fields.outcome === 'written') {
				this.#jobs.noteResults(textOf(fields.job), Number(fields.results));
			}
		},
		[gatewayEvents.jobEnded.number]: ({fields}) => {
			this.#jobs.noteOver(textOf(fields.id));
		},
	};

	/** @returns Whether lines of the event tell anything here; others need not be read. */
	tells(event: number): boolean {
		return this.#handlers[event] !== undefined;
	}

	/** Takes a line; those of other events are left out. */
	take(line: LogLine): void {
		const at = Date.parse(line.time);
		const handler = this.#handlers[line.event];
		if (handler && !Number.isNaN(at)) {
			this.#carryState(at);
			this.#end = at;
			handler(line, at);
			this.#lastLines.set(line.node, at);
		}
	}

	/** All seconds from the first line to the last. What a process has not told the end of is counted until its last line. */
	get seconds(): readonly TimelineSecond[] {
		[...this.#lastLines.keys()].forEach(node => {
			this.#noteAllOver(node);
		});
		const starts = [...this.#seconds.keys()].toSorted((a, b) => a - b);
		return starts.map(start => told(start, this.#seconds.get(start)!));
	}

	#noteBegun(id: string, begun: InFlight) {
		const key = `${begun.node} ${id}`;
		this.#noteOver(key, begun.since);
		this.#inFlight.set(key, begun);
	}

	/** What a process had in flight when it was killed ended with it; it wrote no line of that. */
	#noteAllOver(node: string) {
		const lastAt = this.#lastLines.get(node) ?? 0;
		[...this.#inFlight].filter(([, flight]) => flight.node === node).forEach(([key]) => {
			this.#noteOver(key, lastAt);
		});
	}

	#noteOver(key: string, at: number) {
		const flight = this.#inFlight.get(key);
		if (!flight) {
			return;
		}

		this.#inFlight.delete(key);
		for (let from = flight.since; from < at;) {
			const until = Math.min(at, startOf(from) + secondMs);
			this.#secondOf(from)[flight.kind] += (until - from) / secondMs;
			from = until;
		}
	}

	#noteEnd({status, reason, firstByteMs}: LogLine['fields'], at: number) {
		const second = this.#secondOf(at);
		const number = Number(status);
		if (reason === 'answered') {
			second.callsAnswered += 1;
			second.firstBytes.record(Number(firstByteMs));
		} else if (refusals.has(number)) {
			second.callsRefused += 1;
		} else {
			second.callsFailed += 1;
		}
	}

	/** What lasts is true of the seconds without a line too. */
	#carryState(at: number) {
		if (this.#end === 0) {
			return;
		}

		for (let start = startOf(this.#end); start <= startOf(at); start += secondMs) {
			this.#noteState(start);
		}
	}

	#noteState(at: number) {
		const second = this.#secondOf(at);
		second.withoutObjectApi = Math.max(second.withoutObjectApi, this.#feedsAway.size);
		second.jobsWithoutRunner = Math.max(second.jobsWithoutRunner, this.#jobs.withoutRunner);
	}

	#secondOf(at: number): Second {
		const start = startOf(at);
		const second = this.#seconds.get(start) ?? newSecond();
		this.#seconds.set(start, second);
		return second;
	}
}

const startOf = (at: number): number => Math.floor(at / secondMs) * secondMs;

const rounded = (value: number): number => Math.round(10 * value) / 10;

const told = (start: number, {firstBytes, ...counts}: Second): TimelineSecond => ({
	at: new Date(start).toISOString(),
	...counts,
	callsInFlight: rounded(counts.callsInFlight),
	itemsInFlight: rounded(counts.itemsInFlight),
	firstByteP50Ms: rounded(firstBytes.summary.p50),
	firstByteP99Ms: rounded(firstBytes.summary.p99),
});
