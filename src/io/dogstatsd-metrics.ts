/**
Metrics by DogStatsD over UDP: a collector that is slow or away costs a lost packet, never a request.
*/
import {StatsD} from 'hot-shots';
import type {Disposable, Metrics} from '../common/services.js';
import {type Address} from './address.js';

/** Where metrics go and how they are marked. */
export type MetricsOptions = {
	readonly address: Address;
	/** Stands before each name. */
	readonly prefix: string;
	/** Put on every metric. */
	readonly tags: Readonly<Record<string, string>>;
};

type Tags = Readonly<Record<string, string>>;

/** Metrics wait at most this long and fill at most one packet, so that a busy process sends few packets. */
const flushIntervalMs = 1000;
const packetBytes = 1400;

/** {@link Metrics} by hot-shots. */
export class DogstatsdMetrics implements Metrics, Disposable {
	readonly #client: StatsD;
	#disposed = false;

	constructor({address: {host, port}, prefix, tags}: MetricsOptions) {
		this.#client = new StatsD({
			host,
			port,
			prefix,
			globalTags: {...tags},
			protocol: 'udp',
			maxBufferSize: packetBytes,
			bufferFlushInterval: flushIntervalMs,
			// A metric that cannot be sent is lost; without a handler the socket's error would stop the process.
			errorHandler() {
				// Nothing depends on a metric.
			},
		});
	}

	count(name: string, value = 1, tags: Tags = {}): void {
		this.#client.increment(name, value, {...tags});
	}

	gauge(name: string, value: number, tags: Tags = {}): void {
		this.#client.gauge(name, value, {...tags});
	}

	timing(name: string, ms: number, tags: Tags = {}): void {
		this.#client.timing(name, ms, {...tags});
	}

	/** Sends what waits and closes the socket. */
	dispose(): void {
		if (!this.#disposed) {
			this.#disposed = true;
			this.#client.close(() => {
				// A packet that is lost at the end changes nothing.
			});
		}
	}
}
