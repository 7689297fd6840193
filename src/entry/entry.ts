/**
The entry: where callers come in. It puts together the configuration, the view of the replicas, the callers' routes and the coordination of batch jobs.
*/
import {randomUUID} from 'node:crypto';
import type {Either} from 'purify-ts/Either';
import type {ClientAccount} from '../../typings/resources.js';
import type {ConfigPoll} from '../common/config-protocol.js';
import {validatedConfigTable} from '../common/validated-config-table.js';
import type {ConfigTable} from '../common/config-table.js';
import type {DecisionTrace} from '../common/decision-trace.js';
import {branded} from '../common/ids.js';
import {NodeLifecycle} from '../common/node-lifecycle.js';
import {ReplicaTable} from '../common/replica-table.js';
import type {
	Clock, Disposable, EventLog, Metrics, ObjectApi, RandomSource,
} from '../common/services.js';
import {configAsker, configChangesMethod} from '../io/config-asker.js';
import {clientLimitsOf} from '../io/client-limits.js';
import {ClientLoad} from '../io/client-load.js';
import {HttpClient} from '../io/http-client.js';
import {HttpObjectApi} from '../io/http-object-api.js';
import {
	HttpServer, type Fallbacks, type ListenFailure, type Route,
} from '../io/http-server.js';
import {HttpVmList} from '../io/http-vm-list.js';
import {forPeersOnly} from '../io/peer-route.js';
import {RpcClient} from '../io/rpc-client.js';
import {rpcRoute, type RpcMethods} from '../io/rpc-route.js';
import {Accounts} from './accounts.js';
import {invalidRequest, sendError} from './api-error.js';
import {ApiGate} from './api-gate.js';
import {AttemptClient} from './attempt-client.js';
import {BatchRoutes} from './batch-routes.js';
import {ClaimStore} from './claim-store.js';
import {ClaimSweeper} from './claim-sweeper.js';
import {ConfigFollower} from './config-follower.js';
import {configEvents} from './config-log-events.js';
import {FileRoutes} from './file-routes.js';
import {GenerationRoutes} from './generation-routes.js';
import {configCountsMethod, gatherCounts} from './in-force-gather.js';
import {InForceReporter} from './in-force-reporter.js';
import {JobShards} from './job-shards.js';
import {JobStore} from './job-store.js';
import {entryEvents} from './log-events.js';
import {OnlineFrontend} from './online-frontend.js';
import {PlacementController} from './placement-controller.js';
import {ReplicaPoller} from './replica-poller.js';
import {ReplicaSubset} from './replica-subset.js';
import {ServiceRoutes} from './service-routes.js';
import type {EntrySettings} from './settings.js';

/** What the process around the entry provides. */
export type EntryServices = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** Takes the inputs of decisions, for replay; none by default. */
	readonly trace?: DecisionTrace;
};

const drainPollMs = 50;
const defaultShare = 1;

/** One entry. */
export class Entry implements Disposable {
	readonly #cfg: EntrySettings;
	readonly #services: EntryServices;
	readonly #http = new HttpClient();
	readonly #rpc = new RpcClient(this.#http);
	readonly #api: ObjectApi;
	readonly #config: ConfigTable;
	readonly #follower: ConfigFollower;
	readonly #reporter: InForceReporter;
	readonly #placement: PlacementController;
	readonly #replicas: ReplicaTable;
	readonly #poller: ReplicaPoller;
	readonly #accounts: Accounts;
	readonly #frontend: OnlineFrontend;
	readonly #shards: JobShards;
	readonly #sweeper: ClaimSweeper;
	readonly #clientLoad: ClientLoad;
	readonly #server: HttpServer;
	readonly #lifecycle = new NodeLifecycle();

	constructor(cfg: EntrySettings, services: EntryServices) {
		const {clock} = services;
		this.#cfg = cfg;
		this.#services = services;
		this.#config = validatedConfigTable(services.log, configEvents.objectRefused);
		this.#api = new HttpObjectApi(this.#http, {address: cfg.platform.objectApi, timeoutMs: cfg.platform.timeoutMs});
		this.#replicas = new ReplicaTable(clock, cfg.online.silenceMs);
		this.#poller = this.#makePoller();
		this.#follower = this.#makeFollower();
		this.#reporter = this.#makeReporter();
		this.#placement = this.#makePlacement();
		this.#accounts = new Accounts(this.#config);
		this.#frontend = this.#makeFrontend();
		this.#shards = this.#makeShards();
		this.#sweeper = this.#makeSweeper();
		this.#clientLoad = new ClientLoad({limits: clientLimitsOf(cfg.machineLimits), log: services.log, metrics: services.metrics});
		this.#server = new HttpServer(this.#routes(), this.#fallbacks(), {load: this.#clientLoad, maxBodyBytes: () => cfg.online.maxBodyBytes});
	}

	/** `ip:port` that it listens on. */
	get address(): string {
		return this.#server.address;
	}

	/** See {@link OnlineFrontend.unsentBytes}. */
	get unsentBytes(): number {
		return this.#frontend.unsentBytes;
	}

	/** For the frame's first log event. */
	get addresses(): Readonly<Record<string, string>> {
		return {callers: this.address};
	}

	/** Reads the platform, then starts to listen. */
	async start(): Promise<Either<ListenFailure, number>> {
		await this.#poller.readAll();
		const listening = await this.#server.listen(this.#cfg.listen);
		if (listening.isRight()) {
			this.#lifecycle.send('started');
			void this.#poller.run();
			void this.#follower.run();
			void this.#reporter.run();
			void this.#placement.run();
			void this.#shards.run();
			void this.#sweeper.run();
			this.#services.log.emit(entryEvents.listening, {address: this.address, vm: this.#cfg.vm});
		}

		return listening;
	}

	/** Asks callers to connect elsewhere, still serves those that do not know yet, lets requests finish, and stops listening. */
	async drain(): Promise<void> {
		const {clock, log} = this.#services;
		const until = clock.now() + this.#cfg.drainMs;
		log.emit(entryEvents.drainBegun, {open: this.#frontend.open});
		this.#lifecycle.send('drain');
		this.#server.announceClose();
		await Promise.all([this.#shards.release(), this.#reporter.release(), this.#placement.release()]);
		const noticeUntil = clock.now() + this.#cfg.drainNoticeMs;
		while (clock.now() < until && (clock.now() < noticeUntil || this.#frontend.open > 0)) {
			await clock.sleep(drainPollMs);
		}

		// A caller that never finishes its request must not hold up the stop.
		await Promise.race([this.#server.close(), clock.sleep(Math.max(0, until - clock.now()))]);
		this.#lifecycle.send('drained');
		log.emit(entryEvents.drainEnded, {open: this.#frontend.open});
	}

	dispose(): void {
		this.#lifecycle.dispose();
		this.#shards.dispose();
		this.#sweeper.dispose();
		this.#poller.dispose();
		this.#placement.dispose();
		this.#reporter.dispose();
		this.#follower.dispose();
		this.#accounts.dispose();
		this.#server.dispose();
		this.#clientLoad.dispose();
		this.#http.dispose();
	}

	#makePoller() {
		const {platform, online, vm, failureDomain} = this.#cfg;
		const subset = new ReplicaSubset(this.#replicas, this.#config, {self: vm, failureDomain: branded(failureDomain), perTarget: online.replicasPerTarget}, () => this.#placement.isHolder);
		return new ReplicaPoller({
			...this.#services,
			...online,
			// Asked again on a new connection before the last report is too old to route by.
			loadTimeoutMs: online.silenceMs / 2,
			vmList: new HttpVmList(this.#http, platform.vmList, platform.timeoutMs),
			rpc: this.#rpc,
			renewConnections: address => {
				this.#http.discardPool(address);
			},
			replicas: this.#replicas,
			subset: () => subset.current,
		});
	}

	#makeFollower() {
		return new ConfigFollower({
			...this.#services,
			api: this.#api,
			table: this.#config,
			vm: this.#cfg.vm,
			entries: () => this.#poller.entries,
			ask: configAsker(this.#rpc),
			dataFolder: this.#cfg.dataFolder,
		});
	}

	#liveEntries() {
		return this.#poller.entries.filter(({state}) => state === 'live');
	}

	#makeReporter() {
		return new InForceReporter({
			...this.#services,
			api: this.#api,
			table: this.#config,
			vm: this.#cfg.vm,
			self: branded(`${this.#cfg.vm}-${randomUUID()}`),
			entries: () => this.#liveEntries().map(({name}) => name),
			nodesKnown: () => this.#liveEntries().length + this.#replicas.all.filter(({leaving}) => !leaving).length,
			gather: async () => gatherCounts(this.#liveEntries(), this.#rpc),
		});
	}

	#makePlacement() {
		return new PlacementController({
			silentMs: () => this.#replicas.silentMs,
			...this.#services,
			...this.#cfg.placement,
			api: this.#api,
			table: this.#config,
			vm: this.#cfg.vm,
			self: branded(`${this.#cfg.vm}-${randomUUID()}`),
			entries: () => this.#liveEntries().map(({name}) => name),
			replicas: () => this.#replicas.all,
		});
	}

	#makeFrontend() {
		return new OnlineFrontend({
			...this.#services,
			replicas: this.#replicas,
			client: new AttemptClient(this.#http, this.#rpc, this.#cfg.online.silenceMs),
			config: this.#config,
			accounts: this.#accounts,
			claims: new ClaimStore(this.#api),
			deadlineMs: this.#cfg.online.deadlineMs,
			askAnew: async target => this.#poller.askAnew(target),
		});
	}

	#makeSweeper() {
		return new ClaimSweeper({
			...this.#services, api: this.#api, vm: this.#cfg.vm, entries: () => this.#liveEntries().map(({name}) => name), retainMs: this.#cfg.online.claimRetainMs,
		});
	}

	#makeShards() {
		const holder = `${this.#cfg.vm}-${randomUUID()}`;
		return new JobShards({
			...this.#services,
			...this.#cfg.batch,
			rpcTimeoutMs: this.#cfg.online.silenceMs,
			api: this.#api,
			rpc: this.#rpc,
			replicas: this.#replicas,
			self: branded(holder),
			vm: this.#cfg.vm,
			entries: () => this.#liveEntries().map(({name}) => name),
			shareOf: account => this.#config.get<ClientAccount>('ClientAccount', account)?.spec.share ?? defaultShare,
		});
	}

	#methods(): RpcMethods {
		return {
			[configChangesMethod]: async (poll: ConfigPoll) => this.#follower.answer(poll),
			[configCountsMethod]: () => this.#follower.counts(),
		};
	}

	#peerAddresses(): readonly string[] {
		return [...this.#poller.entries, ...this.#replicas.all].map(({address}) => address);
	}

	#routes() {
		const {online, batch} = this.#cfg;
		const store = new JobStore(this.#api, new ApiGate(this.#services.clock));
		const common = {
			accounts: this.#accounts, config: this.#config, store, clock: this.#services.clock, log: this.#services.log,
		};
		return [
			...new GenerationRoutes(this.#frontend, online.maxBodyBytes).routes,
			...new ServiceRoutes(this.#frontend, online.maxBodyBytes).routes,
			...new FileRoutes({...common, api: this.#api, limits: batch}).routes,
			...new BatchRoutes(common).routes,
			forPeersOnly(rpcRoute(this.#methods()), () => this.#peerAddresses()),
			this.#healthRoute(),
		];
	}

	// For the platform's balancer: it must send no new connection to an entry that is leaving or has no configuration.
	#healthRoute(): Route {
		return {
			method: 'GET',
			pattern: /^\/healthz$/v,
			handle: (_req, res) => {
				const isReady = this.#lifecycle.isServing && this.#config.revision > 0;
				res.writeHead(isReady ? 200 : 503, {'content-type': 'application/json'}).end(JSON.stringify({state: this.#lifecycle.state, revision: this.#config.revision}));
			},
		};
	}

	#fallbacks(): Fallbacks {
		return {
			notFound(req, res) {
				sendError(res, invalidRequest(`no such path: ${req.url}`, {status: 404, code: 'unknown_path'}));
			},
			wrongMethod(req, res, allowed) {
				res.setHeader('allow', allowed.join(', '));
				sendError(res, invalidRequest(`the method ${req.method} is not allowed here`, {status: 405, code: 'wrong_method'}));
			},
			broken: err => {
				this.#services.log.emit(entryEvents.handlerFailed, {reason: String(err)});
			},
		};
	}
}
