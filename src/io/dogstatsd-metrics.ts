/**
Sends metrics to a DogStatsD collector over UDP. A slow or unreachable collector causes lost packets, but never affects a request.
*/
import {StatsD} from 'hot-shots';
import type {Disposable, Metrics} from '../common/services.js';
import {type Address} from './address.js';

/** Destination, prefix and common tags of the metrics. */
export type MetricsOptions = {
	readonly address: Address;
	/** Prepended to each metric name. */
	readonly prefix: string;
	/** Tags added to every metric. */
	readonly tags: Readonly<Record<string, string>>;
};

type Tags = Readonly<Record<string, string>>;

/** Metrics are buffered for at most this time and up to the size of one packet, so that a busy process sends few packets. */
const flushIntervalMs = 1000;
const packetBytes = 1400;

/** {@link Metrics} that are sent by the hot-shots client. */
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
			// Without a handler, a socket error would stop the process. A metric that cannot be sent is lost.
			errorHandler() {
				// Metrics are best effort.
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

	/** Flushes buffered metrics and closes the socket. */
	dispose(): void {
		if (!this.#disposed) {
			this.#disposed = true;
			this.#client.close(() => {
				// Losing the last packet is acceptable.
			});
		}
	}
}
