/**
Stands in for a plain service: it answers any method and path, and counts how often it ran for each marker, so that a test can prove that a non-idempotent call ran at most once.
*/
import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import {z} from 'zod';
import type {Disposable} from '../common/services.js';
import {connectionFaultsSchema, type ConnectionFaults} from './connection-faults.js';
import {faultsRoute} from './control-route.js';
import type {Exchange} from './exchange.js';
import type {Handler} from './route-table.js';
import {StandinServer, type ListenSettings} from './standin-server.js';

/** The stand-in's settings: there are none yet. */
export const serviceSettingsSchema = z.strictObject({});

const withoutBody = new Set([204, 304]);

/** A plain service on loopback. */
export class ServiceStandin implements Disposable {
	/** Starts the stand-in; rejects when the port is taken. */
	static async start(listen: ListenSettings = {}): Promise<ServiceStandin> {
		const standin = new ServiceStandin();
		standin.#server = await StandinServer.start(listen, {
			hangs: 'connections',
			fallback: async exchange => standin.#answer(exchange),
			routes: standin.#routes(),
		});
		return standin;
	}

	readonly #runs = new Map<string, number>();
	#server!: StandinServer;

	private constructor() {
		// Made by `start`.
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

	/** How often a call ran, by its `x-marker` header. */
	runs(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#runs);
	}

	dispose(): void {
		this.#server.dispose();
	}

	#routes(): Record<string, Handler> {
		return {
			'GET /control/runs': exchange => {
				exchange.send(200, {runs: this.runs()});
			},
			'POST /control/faults': faultsRoute(connectionFaultsSchema, changes => this.faults(changes)),
		};
	}

	async #answer(exchange: Exchange): Promise<void> {
		const body = await exchange.bytes();
		if (body.isLeft()) {
			exchange.cut();
			return;
		}

		const marker = exchange.header('x-marker') ?? '';
		const runs = (this.#runs.get(marker) ?? 0) + 1;
		this.#runs.set(marker, runs);
		await this.#server.sleep(exchange.queryNumber('delayMs', 0));
		if (exchange.url.searchParams.get('cutAfterRun') === '1') {
			exchange.cut();
			return;
		}

		this.#send(exchange, {
			method: exchange.method,
			path: exchange.url.pathname,
			query: exchange.url.search,
			body: body.map(bytes => bytes.toString()).orDefault(''),
			marker,
			runs,
		});
	}

	#send(exchange: Exchange, answer: Readonly<Record<string, unknown>>): void {
		const wanted = exchange.queryNumber('status', 200);
		const status = wanted in STATUS_CODES && wanted >= 200 ? wanted : 200;
		const padding = 'x'.repeat(exchange.queryNumber('bytes', 0));
		const text = JSON.stringify(padding === '' ? answer : {...answer, padding});
		if (withoutBody.has(status)) {
			exchange.sendText(status, '');
			return;
		}

		// Told explicitly, so that the answer to HEAD has it, too.
		exchange.sendText(status, text, {'Content-Length': Buffer.byteLength(text)});
	}
}
