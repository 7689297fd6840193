/**
Stands in for the weight store: each load takes its time, and loads beyond the rate are refused.
*/
import {z} from 'zod';
import type {Disposable} from '../common/services.js';
import {connectionFaultsSchema, type ConnectionFaults} from './connection-faults.js';
import {faultsRoute} from './control-route.js';
import type {Exchange} from './exchange.js';
import type {Handler} from './route-table.js';
import {StandinServer, type ListenSettings} from './standin-server.js';

const minuteMs = 60_000;

/** The stand-in's settings; all have defaults. */
export const weightStoreSettingsSchema = z.strictObject({
	/** Size of the weights of every key that `sizes` does not name. */
	bytes: z.number().int().min(0).default(100_000_000),
	/** Sizes by key. */
	sizes: z.record(z.string(), z.number().int().min(0)).default({}),
	bytesPerSecond: z.number().positive().default(1_000_000_000),
	/** Loads at once. */
	maxConcurrent: z.number().int().min(1).default(4),
	/** Loads begun in any minute. */
	perMinute: z.number().int().min(1).default(60),
});

/** See {@link weightStoreSettingsSchema}. */
export type WeightStoreSettings = z.input<typeof weightStoreSettingsSchema>;

/** Loads since the start. */
export type LoadCounts = {readonly begun: number; readonly refused: number; readonly peak: number};

/** The weight store on loopback. */
export class WeightStoreStandin implements Disposable {
	/** Starts the stand-in; rejects when the port is taken. */
	static async start({host, port, ...settings}: WeightStoreSettings & ListenSettings = {}): Promise<WeightStoreStandin> {
		const standin = new WeightStoreStandin(settings);
		standin.#server = await StandinServer.start({host, port}, {hangs: 'requests', routes: standin.#routes()});
		return standin;
	}

	readonly #settings: z.output<typeof weightStoreSettingsSchema>;
	#server!: StandinServer;
	#starts: number[] = [];
	#active = 0;
	#begun = 0;
	#refused = 0;
	#peak = 0;

	private constructor(settings: WeightStoreSettings) {
		this.#settings = weightStoreSettingsSchema.parse(settings);
	}

	/** Where it listens, as `ip:port`. */
	get address(): string {
		return this.#server.address;
	}

	/** Changes the faults that are given and returns those in force. */
	faults(changes: ConnectionFaults = {}): ConnectionFaults {
		this.#server.setFaults(changes);
		return this.#server.faults;
	}

	loads(): LoadCounts {
		return {begun: this.#begun, refused: this.#refused, peak: this.#peak};
	}

	dispose(): void {
		this.#server.dispose();
	}

	#routes(): Record<string, Handler> {
		return {
			'GET /v1/weights/:key': async exchange => this.#load(exchange),
			'GET /control/loads': exchange => {
				exchange.send(200, this.loads());
			},
			'POST /control/faults': faultsRoute(connectionFaultsSchema, changes => this.faults(changes)),
		};
	}

	async #load(exchange: Exchange): Promise<void> {
		const waitMs = this.#msToRoom(performance.now());
		if (waitMs > 0) {
			this.#refused++;
			exchange.send(429, {error: 'too many loads'}, {'Retry-After': String(Math.ceil(waitMs / 1000))});
			return;
		}

		const key = exchange.params.key ?? '';
		const bytes = this.#settings.sizes[key] ?? this.#settings.bytes;
		this.#begin();
		await this.#server.sleep(bytes / this.#settings.bytesPerSecond * 1000);
		this.#active--;
		exchange.send(200, {key, bytes});
	}

	#begin(): void {
		this.#starts.push(performance.now());
		this.#begun++;
		this.#active++;
		this.#peak = Math.max(this.#peak, this.#active);
	}

	/** Milliseconds until another load may begin; 0 when it may now. */
	#msToRoom(now: number): number {
		this.#starts = this.#starts.filter(start => start > now - minuteMs);
		const oldest = this.#starts[0];
		if (oldest !== undefined && this.#starts.length >= this.#settings.perMinute) {
			return oldest + minuteMs - now;
		}

		return this.#active >= this.#settings.maxConcurrent ? 1000 : 0;
	}
}
