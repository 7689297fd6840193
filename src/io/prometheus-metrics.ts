/**
Exposes metrics over HTTP on a separate address, in the Prometheus text exposition format.
*/
import {createServer, type ServerResponse} from 'node:http';
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';
import type {Disposable, Metrics} from '../common/services.js';
import type {AddressAwaited} from './bind-address.js';
import {listen} from './listen.js';
import type {ClientLoad} from './client-load.js';
import {boundedServerOptions, ServerConnections} from './server-connections.js';

/** Upper bounds of the latency buckets in milliseconds: fine around first-token latencies (tens) and latency targets (hundreds), coarse up to the longest time limits. */
const latencyBucketsMs = [5, 10, 25, 50, 75, 100, 150, 200, 300, 500, 750, 1000, 2000, 4000, 8000, 16_000];

type Tags = Readonly<Record<string, string>>;

/** Metric names contain dots, which the exposition format does not allow. */
const prometheusName = (name: string): string => `citronyard_${name.replaceAll(/[^a-zA-Z0-9_]/gv, '_')}`;

/** How the metrics are served. */
export type MetricsServing = {
	/** Called before each scrape, to update gauges. */
	readonly onRead: () => void;
	/** What the clients of this process hold. */
	readonly load: ClientLoad;
	readonly onAwaited?: AddressAwaited;
};

/** Retains metrics in memory. Tags must have few distinct values, since each combination is retained. */
export class PrometheusMetrics implements Metrics, Disposable {
	readonly #registry = new Registry();
	readonly #counters = new Map<string, Counter>();
	readonly #gauges = new Map<string, Gauge>();
	readonly #histograms = new Map<string, Histogram>();
	#connections: ServerConnections | undefined;

	count(name: string, value = 1, tags: Tags = {}): void {
		const counter = this.#counters.get(name) ?? this.#store(this.#counters, name, new Counter({
			name: `${prometheusName(name)}_total`, help: name, labelNames: Object.keys(tags), registers: [this.#registry],
		}));
		counter.inc(tags, value);
	}

	gauge(name: string, value: number, tags: Tags = {}): void {
		const gauge = this.#gauges.get(name) ?? this.#store(this.#gauges, name, new Gauge({
			name: prometheusName(name), help: name, labelNames: Object.keys(tags), registers: [this.#registry],
		}));
		gauge.set(tags, value);
	}

	timing(name: string, ms: number, tags: Tags = {}): void {
		const histogram = this.#histograms.get(name) ?? this.#store(this.#histograms, name, new Histogram({
			name: `${prometheusName(name)}_ms`, help: name, labelNames: Object.keys(tags), buckets: latencyBucketsMs, registers: [this.#registry],
		}));
		histogram.observe(tags, ms);
	}

	/** All metrics in the text exposition format. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	/**
	Serves the metrics at `/metrics`. A failure to serve them does not stop a process that serves callers.

	@param address - `ip:port`; it is waited for if it is not available yet.
	*/
	async serve(address: string, {onRead, load, onAwaited}: MetricsServing): Promise<void> {
		const server = createServer(boundedServerOptions);
		this.#connections = new ServerConnections(server, (_req, res) => {
			onRead();
			void this.#answer(res);
		}, {load, role: 'metrics', maxBodyBytes: () => 0});
		server.unref();
		await listen(server, address, onAwaited);
	}

	dispose(): void {
		this.#connections?.dispose();
	}

	async #answer(res: ServerResponse) {
		const body = await this.text();
		res.writeHead(200, {'content-type': this.#registry.contentType});
		res.end(body);
	}

	#store<T>(metrics: Map<string, T>, name: string, metric: T): T {
		metrics.set(name, metric);
		return metric;
	}
}
