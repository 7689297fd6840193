/**
Latencies in an HDR histogram. Whoever records counts from the moment at which the request was to start, not from when it was sent: a stall then lengthens the latency of every request that was due during it, and none is left out by the generator's own waiting.
*/
import {build, type Histogram} from 'hdr-histogram-js';

/** Percentiles of latencies, in milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
	readonly max: number;
};

const microsPerMs = 1000;
const highestMicros = 600_000_000;
const significantDigits = 3;

/** Collects latencies. */
export class LatencyHistogram {
	readonly #histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: highestMicros, numberOfSignificantValueDigits: significantDigits,
	});

	/** @param ms - Negative values count as 0, those over ten minutes as ten minutes. */
	record(ms: number): void {
		this.#histogram.recordValue(Math.min(highestMicros, Math.max(0, Math.round(ms * microsPerMs))));
	}

	get summary(): LatencySummary {
		return {
			count: this.#histogram.totalCount, p50: this.#at(50), p95: this.#at(95), p99: this.#at(99), max: this.#at(100),
		};
	}

	#at(percentile: number) {
		return this.#histogram.totalCount === 0 ? 0 : this.#histogram.getValueAtPercentile(percentile) / microsPerMs;
	}
}
