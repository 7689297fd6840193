/**
Stands in for a model engine with an OpenAI-compatible API: continuous batching without priorities, a prefix cache that publishes its events late and with gaps, a load report that lags, orders, resumption and cancellation of streams, and its faults.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Disposable} from '../common/services.js';
import {SeededRandom} from '../io/seeded-random.js';
import {AnswerWriter, type AnswerKind} from './answer-writer.js';
import {CacheEventLog} from './cache-event-log.js';
import {faultsRoute} from './control-route.js';
import {EngineBatch, type EngineLoad} from './engine-batch.js';
import {parseEngineRequest, type EngineError, type EngineRequest} from './engine-request.js';
import {
	engineFaultsSchema, engineSettingsSchema, type EngineFaults, type EngineSettings, type FullEngineSettings,
} from './engine-settings.js';
import type {Exchange} from './exchange.js';
import {LaggedValue} from './lagged-value.js';
import {ModelOrders, orderSchema, type OrderRefusal} from './model-orders.js';
import {PrefixCache, type CacheChange} from './prefix-cache.js';
import type {Handler} from './route-table.js';
import {RunCounts} from './run-counts.js';
import {StandinServer, type ListenSettings} from './standin-server.js';
import {StepLoop} from './step-loop.js';
import {loadFrom} from './weight-client.js';

/** What the engine did since its start. */
export type EngineStats = {
	readonly requests: number;
	/** Tokens generated. */
	readonly tokens: number;
	/** How often each request ran, by its id. */
	readonly runs: Readonly<Record<string, number>>;
	readonly cancelled: number;
	/** The most sequences that ran at once. */
	readonly peakBatch: number;
	readonly crashes: number;
	readonly role: string;
	readonly highestFence: number;
};

/** A model engine on loopback. */
export class EngineStandin implements Disposable {
	/** Starts the stand-in; rejects when the port is taken. */
	static async start({host, port, ...settings}: EngineSettings & ListenSettings = {}): Promise<EngineStandin> {
		const standin = new EngineStandin(engineSettingsSchema.parse(settings));
		standin.#server = await StandinServer.start({host, port}, {hangs: 'connections', routes: standin.#routes()});
		return standin;
	}

	readonly #settings: FullEngineSettings;
	readonly #cache: PrefixCache;
	readonly #events: CacheEventLog;
	readonly #batch: EngineBatch;
	readonly #loop: StepLoop;
	readonly #load: LaggedValue<EngineLoad>;
	readonly #orders: ModelOrders;
	readonly #runs = new RunCounts();
	#server!: StandinServer;
	#faults: Pick<EngineFaults, 'freeze' | 'stepFactor'> = {};
	#cancelled = 0;
	#crashes = 0;

	private constructor(settings: FullEngineSettings) {
		this.#settings = settings;
		this.#cache = new PrefixCache(settings.cacheBlocks);
		this.#events = new CacheEventLog({
			lagMs: settings.cacheEventLagMs,
			lossShare: settings.cacheEventLossShare,
			random: new SeededRandom(settings.seed),
		});
		this.#batch = new EngineBatch(settings, this.#cache, change => {
			this.#publish(change);
		});
		this.#load = new LaggedValue(this.#batch.load, settings.loadLagMs);
		this.#loop = new StepLoop(this.#batch, () => {
			this.#recordLoad();
		});
		this.#orders = new ModelOrders({
			checksFence: settings.checksFence,
			models: settings.models,
			loadWeights: loadFrom(settings.weightStore),
		});
	}

	/** Where it listens, as `ip:port`. */
	get address(): string {
		return this.#server.address;
	}

	/** Changes the faults that are given and returns those in force. */
	faults(changes: EngineFaults = {}): EngineFaults {
		const {freeze, stepFactor, ...others} = changes;
		this.#faults = {freeze: freeze ?? this.#faults.freeze, stepFactor: stepFactor ?? this.#faults.stepFactor};
		this.#loop.setFactor(this.#faults.stepFactor ?? 1);
		this.#loop.freeze(this.#faults.freeze ?? false);
		this.#server.setFaults(others);
		return {...this.#server.faults, ...this.#faults};
	}

	stats(): EngineStats {
		return {
			requests: this.#runs.total,
			tokens: this.#batch.generated,
			runs: this.#runs.report(),
			cancelled: this.#cancelled,
			peakBatch: this.#batch.peak,
			crashes: this.#crashes,
			role: this.#orders.role,
			highestFence: this.#orders.highestFence,
		};
	}

	dispose(): void {
		this.#loop.dispose();
		this.#server.dispose();
	}

	#routes(): Record<string, Handler> {
		return {
			'POST /v1/chat/completions': async exchange => this.#complete(exchange, 'chat'),
			'POST /v1/completions': async exchange => this.#complete(exchange, 'text'),
			'POST /v1/cancel': async exchange => this.#cancelById(exchange),
			'POST /v1/orders': async exchange => this.#obey(exchange),
			'GET /v1/cache-events': async exchange => this.#sendCacheEvents(exchange),
			'GET /v1/load': exchange => {
				exchange.send(200, this.#load.at(performance.now() - this.#settings.loadLagMs));
			},
			'GET /v1/models': exchange => {
				exchange.send(200, this.#modelList());
			},
			'GET /healthz'(exchange) {
				exchange.send(200, {status: 'ok'});
			},
			'GET /control/stats': exchange => {
				exchange.send(200, this.stats());
			},
			'POST /control/faults': faultsRoute(engineFaultsSchema, changes => this.faults(changes)),
		};
	}

	async #complete(exchange: Exchange, kind: AnswerKind): Promise<void> {
		const body = await exchange.json();
		const request: Either<EngineError, EngineRequest> = body
			.mapLeft(err => ({...err, code: null, param: null}))
			.chain(value => parseEngineRequest(value))
			.chain(parsed => this.#accept(parsed));
		request.caseOf({
			Left(err) {
				sendError(exchange, err);
			},
			Right: accepted => {
				this.#run(exchange, accepted, kind);
			},
		});
	}

	#accept(request: EngineRequest): Either<EngineError, EngineRequest> {
		if (!this.#orders.has(request.model)) {
			return Left({
				status: 404, message: `the model ${request.model} is not loaded`, code: 'model_not_found', param: 'model',
			});
		}

		return request.promptTokens + request.maxTokens > this.#settings.kvTokens
			? Left({
				status: 400, message: 'the prompt and its answer are too long', code: 'context_length_exceeded', param: 'messages',
			})
			: Right(request);
	}

	#run(exchange: Exchange, request: EngineRequest, kind: AnswerKind): void {
		this.#runs.add(request.requestId);
		if (request.promptText.includes('[[crash]]')) {
			this.#crash();
			return;
		}

		const sequence = this.#batch.submit(request, new AnswerWriter(exchange, request, kind));
		exchange.onBroken(() => {
			this.#cancelled += this.#batch.cancel(sequence) ? 1 : 0;
			this.#recordLoad();
		});
		this.#loop.wake();
		this.#recordLoad();
	}

	#crash(): void {
		this.#crashes++;
		this.#batch.clear();
		this.#loop.reset();
		this.#cache.clear();
		this.#events.record(performance.now(), 'cleared', []);
		this.#recordLoad();
		void this.#server.restart(this.#settings.restartMs);
	}

	async #cancelById(exchange: Exchange): Promise<void> {
		const body = await exchange.json();
		const {request_id: requestId} = (body.orDefault({}) ?? {}) as {request_id?: string};
		const cancelled = this.#batch.find(requestId ?? '').filter(sequence => this.#batch.cancel(sequence));
		this.#cancelled += cancelled.length;
		this.#recordLoad();
		exchange.send(200, {cancelled: cancelled.length > 0});
	}

	async #obey(exchange: Exchange): Promise<void> {
		const body = await exchange.json();
		const order = orderSchema.safeParse(body.orDefault(undefined));
		if (!order.success) {
			exchange.send(400, {error: order.error.message});
			return;
		}

		const obeyed = await this.#orders.obey(order.data);
		obeyed.caseOf({
			Left(refusal) {
				sendRefusal(exchange, refusal);
			},
			Right: () => {
				exchange.send(200, {models: this.#orders.models, role: this.#orders.role, highestFence: this.#orders.highestFence});
			},
		});
	}

	async #sendCacheEvents(exchange: Exchange): Promise<void> {
		const since = exchange.queryNumber('since', 0);
		const deadline = performance.now() + exchange.queryNumber('waitMs', 0);
		const gone = new AbortController();
		exchange.onBroken(() => {
			gone.abort();
		});
		while (!gone.signal.aborted && !this.#server.isDisposed && performance.now() < deadline && this.#events.after(since, performance.now()).length === 0) {
			await this.#nextCacheEvent(since, deadline, gone.signal);
		}

		const events = this.#events.after(since, performance.now());
		exchange.send(200, {events, next: events.at(-1)?.seq ?? since});
	}

	async #nextCacheEvent(since: number, deadline: number, gone: AbortSignal): Promise<void> {
		const now = performance.now();
		const happened = new AbortController();
		const stopWaiting = this.#events.onNext(() => {
			happened.abort();
		});
		await this.#server.sleep(Math.min(deadline - now, this.#events.msToNext(since, now) ?? Number.POSITIVE_INFINITY), AbortSignal.any([gone, happened.signal]));
		stopWaiting();
	}

	#publish({stored, removed}: CacheChange): void {
		const now = performance.now();
		if (stored.length > 0) {
			this.#events.record(now, 'stored', stored);
		}

		if (removed.length > 0) {
			this.#events.record(now, 'removed', removed);
		}
	}

	#recordLoad(): void {
		this.#load.set(performance.now(), this.#batch.load);
	}

	#modelList(): object {
		const data = this.#orders.models.map(({model, ...details}) => ({
			id: model, object: 'model', created: 0, owned_by: 'standin', ...details,
		}));
		return {object: 'list', data};
	}
}

const sendError = (exchange: Exchange, {status, message, code, param}: EngineError): void => {
	exchange.send(status, {
		error: {
			message, type: 'invalid_request_error', param, code,
		},
	});
};

const sendRefusal = (exchange: Exchange, {status, retryAfter, ...refusal}: OrderRefusal): void => {
	exchange.send(status, refusal, retryAfter === undefined ? {} : {'Retry-After': retryAfter});
};
