/**
The agent: the one process beside a backend server, and the only way to it. It puts together admission, the ledger, online attempts and batch work, and serves entries over HTTP.
*/
import {randomUUID} from 'node:crypto';
import type {Either} from 'purify-ts/Either';
import type {BackendServer} from '../../typings/resources.js';
import {Admission} from '../common/admission.js';
import {validatedConfigTable} from '../common/validated-config-table.js';
import type {ConfigTable} from '../common/config-table.js';
import {CacheMirror} from '../common/cache-mirror.js';
import {branded} from '../common/ids.js';
import {NodeLifecycle} from '../common/node-lifecycle.js';
import type {
	AttemptKey, CancelAnswer, GrantRequest, Incarnation, LoadReport, RenewRequest, RevokeRequest,
} from '../common/protocol.js';
import {RequestLedger} from '../common/request-ledger.js';
import type {
	Clock, Disposable, EventLog, Metrics, ObjectApi, RandomSource,
} from '../common/services.js';
import {configAsker} from '../io/config-asker.js';
import {clientLimitsOf} from '../io/client-limits.js';
import {ClientLoad} from '../io/client-load.js';
import {HttpClient} from '../io/http-client.js';
import {HttpObjectApi} from '../io/http-object-api.js';
import {HttpServer, type ListenFailure} from '../io/http-server.js';
import {HttpVmList} from '../io/http-vm-list.js';
import {RpcClient} from '../io/rpc-client.js';
import {rpcRoute, type RpcMethods} from '../io/rpc-route.js';
import type {Backend} from './backend.js';
import {BatchWorker} from './batch-worker.js';
import {AgentConfigFollower} from './config-follower.js';
import {agentConfigEvents} from './config-log-events.js';
import {CacheFollower} from './cache-follower.js';
import {EngineBackend} from './engine-backend.js';
import {agentEvents} from './log-events.js';
import {ModelReconciler} from './model-reconciler.js';
import {OnlineAttempts} from './online-attempts.js';
import {OrderFence} from './order-fence.js';
import {ResultWriter} from './result-writer.js';
import {ServiceBackend} from './service-backend.js';
import type {AgentSettings} from './settings.js';
import {ServedTargets} from './served-targets.js';
import {SoloGate} from './solo-gate.js';
import {WorkRunner} from './work-runner.js';

/** What the process around the agent provides. */
export type AgentServices = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

const drainPollMs = 50;
// Entries ask for the load several times a second; after this long all of them know that the agent is leaving. An entry whose connection went silent notices within a second and comes again for the rest of the answer, so that the agent stays as long after its last answer, too.
const drainLingerMs = 2000;

const backendMakers: {[Type in AgentSettings['backend']['type']]: (cfg: Extract<AgentSettings['backend'], {type: Type}>, http: HttpClient) => Backend} = {
	engine: (cfg, http) => new EngineBackend(http, cfg.address, cfg.silenceMs),
	service: (cfg, http) => new ServiceBackend(http, cfg.address, cfg.service),
};

/** One agent. */
export class Agent implements Disposable {
	readonly #cfg: AgentSettings;
	readonly #services: AgentServices;
	readonly #incarnation: Incarnation = branded(randomUUID());
	readonly #http = new HttpClient();
	readonly #backend: Backend;
	readonly #admission: Admission;
	readonly #runner: WorkRunner;
	readonly #attempts: OnlineAttempts;
	readonly #batch: BatchWorker;
	readonly #cache: CacheMirror | undefined;
	readonly #cacheFollower: CacheFollower | undefined;
	readonly #clientLoad: ClientLoad;
	readonly #server: HttpServer;
	readonly #config: ConfigTable;
	readonly #follower: AgentConfigFollower;
	readonly #reconciler: ModelReconciler | undefined;
	readonly #lifecycle = new NodeLifecycle();
	readonly #served: ServedTargets;

	constructor(cfg: AgentSettings, services: AgentServices) {
		const {clock, log, metrics} = services;
		this.#cfg = cfg;
		this.#services = services;
		this.#config = validatedConfigTable(log, agentConfigEvents.objectRefused);
		this.#backend = (backendMakers[cfg.backend.type] as (backend: AgentSettings['backend'], http: HttpClient) => Backend)(cfg.backend, this.#http);
		this.#served = new ServedTargets({backend: this.#backend, clock, log});
		this.#admission = new Admission(clock, {...cfg.backend, ...cfg.limits});
		this.#runner = new WorkRunner(this.#admission, log, metrics);
		this.#cache = cfg.backend.type === 'engine' ? new CacheMirror() : undefined;
		this.#cacheFollower = this.#cache && new CacheFollower({
			clock, http: this.#http, address: cfg.backend.address, mirror: this.#cache,
		});
		this.#attempts = new OnlineAttempts({
			clock,
			log,
			ledger: new RequestLedger(clock, cfg.limits, this.#incarnation),
			runner: this.#runner,
			backend: this.#backend,
			load: () => this.load(),
			cache: this.#cache,
			orphanMs: cfg.limits.orphanMs,
			maxBodyBytes: cfg.limits.maxBodyBytes,
		});
		this.#batch = this.#makeBatchWorker();
		this.#follower = this.#makeFollower();
		this.#reconciler = this.#makeReconciler();
		this.#clientLoad = new ClientLoad({limits: clientLimitsOf(cfg.machineLimits), log, metrics});
		this.#server = new HttpServer([...this.#attempts.routes, rpcRoute(this.#methods())], {
			notFound(_req, res) {
				res.writeHead(404).end();
			},
			wrongMethod(_req, res) {
				res.writeHead(405).end();
			},
			broken(err) {
				log.emit(agentEvents.handlerFailed, {reason: String(err)});
			},
		}, {load: this.#clientLoad, maxBodyBytes: () => cfg.limits.maxBodyBytes});
	}

	/** `ip:port` that it listens on. */
	get address(): string {
		return this.#server.address;
	}

	/** For the frame's first log event. */
	get addresses(): Readonly<Record<string, string>> {
		return {entries: this.address};
	}

	/** Starts to listen. */
	async start(): Promise<Either<ListenFailure, number>> {
		const listening = await this.#server.listen(this.#cfg.listen);
		if (listening.isRight()) {
			await this.#served.read();
			this.#lifecycle.send('started');
			void this.#served.run();
			void this.#cacheFollower?.run();
			void this.#follower.run();
			void this.#reconciler?.run();
			this.#services.log.emit(agentEvents.listening, {address: this.address, vm: this.#cfg.vm, incarnation: this.#incarnation});
		}

		return listening;
	}

	/** The agent's state, as entries see it. */
	load(): LoadReport {
		return {
			vm: branded(this.#cfg.vm),
			incarnation: this.#incarnation,
			at: this.#services.clock.now(),
			draining: this.#lifecycle.isLeaving,
			serves: this.#served.current,
			running: this.#admission.onlineRunning,
			queued: this.#admission.onlineQueued,
			pendingTokens: this.#admission.pendingTokens,
			batchRunning: this.#admission.batchRunning,
			batchRoom: this.#batch.room,
			maxRunning: this.#cfg.backend.maxRunning,
			loaded: this.#reconciler?.loaded,
			configRevision: this.#config.revision,
		};
	}

	/** Takes no new work, lets what it has finish, and stops listening. */
	async drain(): Promise<void> {
		const {clock, log} = this.#services;
		const until = clock.now() + this.#cfg.drainMs;
		let lingerUntil = clock.now() + drainLingerMs;
		log.emit(agentEvents.drainBegun, {open: this.#attempts.open});
		this.#lifecycle.send('drain');
		this.#batch.drain();
		while (clock.now() < Math.min(until, lingerUntil)) {
			await clock.sleep(drainPollMs);
			lingerUntil = this.#attempts.isAwaited || this.#batch.isCommitting ? clock.now() + drainLingerMs : lingerUntil;
		}

		log.emit(agentEvents.drainEnded, {open: this.#attempts.open});
		await this.#server.close();
		this.#lifecycle.send('drained');
	}

	dispose(): void {
		this.#lifecycle.dispose();
		this.#served.dispose();
		this.#reconciler?.dispose();
		this.#follower.dispose();
		this.#cacheFollower?.dispose();
		this.#batch.dispose();
		this.#attempts.dispose();
		this.#runner.dispose();
		this.#server.dispose();
		this.#clientLoad.dispose();
		this.#http.dispose();
	}

	#methods(): RpcMethods {
		return {
			'agent.load': ({cacheSince}: {cacheSince?: number}) => cacheSince === undefined ? this.load() : {...this.load(), cache: this.#cache?.changesSince(cacheSince)},
			'ledger.revoke': (params: RevokeRequest) => this.#attempts.revoke(params),
			'attempt.cancel': (params: {key: AttemptKey}): CancelAnswer => ({isStopped: this.#attempts.cancel(params.key)}),
			'batch.grant': (params: GrantRequest) => this.#batch.grant(params),
			'batch.renew': (params: RenewRequest) => this.#batch.renew(params),
		};
	}

	#makeFollower(): AgentConfigFollower {
		const {platform, vm, failureDomain} = this.#cfg;
		return new AgentConfigFollower({
			...this.#services,
			api: new HttpObjectApi(this.#http, {address: platform.objectApi, timeoutMs: platform.timeoutMs}),
			vmList: new HttpVmList(this.#http, platform.vmList, platform.timeoutMs),
			table: this.#config,
			vm,
			failureDomain,
			ask: configAsker(new RpcClient(this.#http)),
		});
	}

	#makeReconciler(): ModelReconciler | undefined {
		const {platform, vm} = this.#cfg;
		const api = new HttpObjectApi(this.#http, {address: platform.objectApi, timeoutMs: platform.timeoutMs});
		const checksFence = () => this.#config.get<BackendServer>('BackendServer', vm)?.spec.checksFence ?? false;
		return this.#backend.models && new ModelReconciler({
			...this.#services, table: this.#config, vm, control: this.#backend.models, fence: new OrderFence(api, checksFence),
		});
	}

	#makeBatchWorker(): BatchWorker {
		const {clock, random} = this.#services;
		const {platform, backend, limits} = this.#cfg;
		const api: ObjectApi = new HttpObjectApi(this.#http, {address: platform.objectApi, timeoutMs: platform.timeoutMs});
		const around = {
			api, clock, gate: new SoloGate(), runner: this.#runner, backend: this.#backend, window: limits.batchWindow ?? 2 * backend.maxRunning,
		};
		const makeWriter = (isGranted: () => boolean) => new ResultWriter(`${this.#cfg.vm}-${randomUUID()}`, {
			api, clock, random, isGranted,
		});
		return new BatchWorker(around, makeWriter, {
			maxChunks: backend.type === 'engine' ? limits.batchChunks : 0,
			minItemsAhead: 2 * backend.maxRunning,
		});
	}
}
