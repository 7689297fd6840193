/**
The composition root of `citronyard-front`, which accepts callers' calls, routes them to replicas, and runs batch jobs together with its peers. All fronts are equal, store nothing on disk, and may stop at any moment.
*/
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {Right, type Either} from 'purify-ts/Either';
import {branded} from '../common/ids.js';
import {rankMembers} from '../common/rendezvous.js';
import {NodeLifecycle} from '../common/node-lifecycle.js';
import type {
	Clock, Disposable, EventLog, ObjectApi, RandomSource,
} from '../common/services.js';
import type {ObjectKind} from '../common/types.js';
import {formatAddress} from '../io/address.js';
import {logAwaited} from '../io/bind-address.js';
import {clientLimitsOf} from '../io/client-limits.js';
import {ClientLoad} from '../io/client-load.js';
import {DatagramChannel} from '../io/datagram-channel.js';
import {dial} from '../io/dial.js';
import {HttpClient} from '../io/http-client.js';
import type {HttpServer} from '../io/http-server.js';
import {listen as listenOn} from '../io/listen.js';
import type {RunningProgram, StartError} from '../io/program.js';
import {PrometheusMetrics} from '../io/prometheus-metrics.js';
import {RpcClient} from '../io/rpc-client.js';
import {boundedServerOptions, ServerConnections} from '../io/server-connections.js';
import {CallRanks} from './accounts/call-ranks.js';
import {CallerGate} from './accounts/caller-gate.js';
import {admitsByTarget} from './admission/admits-by-target.js';
import {DeadlineAdmission} from './admission/deadline-admission.js';
import {TargetAdmission} from './admission/target-admission.js';
import {RateLimits} from './accounts/rate-limits.js';
import {JobIndex} from './batch/job-index.js';
import {BatchRetention} from './batch/batch-retention.js';
import {BatchRunner} from './batch/batch-runner.js';
import {ContentStore} from './batch/content-store.js';
import {FailedRuns} from './batch/failed-runs.js';
import type {ItemHeaderBuilder} from './batch/item-sender.js';
import {JobClaims} from './batch/job-claims.js';
import {takeOverMethod, type JobHandover, type JobHandoverAnswer} from './batch/job-handover.js';
import {JobIntake} from './batch/job-intake.js';
import {JobReader} from './batch/job-reader.js';
import {WaveForecasts} from './batch/wave-forecasts.js';
import {balancerRemovalMs, ShutdownWindow} from './calls/shutdown-window.js';
import {CallOutcomes} from './serving/call-outcomes.js';
import {ConfigBoard} from './config-board.js';
import {ConfigController} from './config-controller.js';
import {ReplicaReachability} from './contacts/replica-reachability.js';
import {UnreachableAnnouncements} from './contacts/unreachable-announcements.js';
import {FeedFreshness} from './feed-freshness.js';
import {FirstRead} from './serving/first-read.js';
import {FrontServer} from './front-server.js';
import {HeldJobSearch} from './keeping/held-job-search.js';
import {HeldJobs} from './keeping/held-jobs.js';
import {KeeperPool} from './keeping/keeper-pool.js';
import {noJournal} from './keeping/no-journal.js';
import type {JobCallDialect} from './job-calls.js';
import {gatewayEvents} from './log-events.js';
import {LoadBoard} from './load-board.js';
import {MeteredObjectApi} from './metered-object-api.js';
import {ObjectFeed, type FeedOptions} from './object-feed.js';
import {MemberRegistrar} from './peers/member-registrar.js';
import {MemberRegistry} from './peers/member-registry.js';
import {
	answerObjectCall, objectCallMethod, ObjectRelay, type ObjectCall,
} from './peers/object-relay.js';
import {PeerAnnouncer} from './peers/peer-announcer.js';
import {peerStateMethod, type PeerState} from './peers/peer-state.js';
import {peerServer} from './peers/peer-server.js';
import {PeerTable} from './peers/peer-table.js';
import {SharedChecks} from './peers/shared-checks.js';
import {stateChangesMethod, type StateChanges} from './peers/state-changes.js';
import {ItemPauses} from './quarantine/item-pauses.js';
import {PartQuarantine} from './quarantine/part-quarantine.js';
import type {PartKey} from './quarantine/prompt-part-keys.js';
import {Quarantine} from './quarantine/quarantine.js';
import {QuarantineRecords} from './quarantine/quarantine-records.js';
import {ReadProgress} from './read-progress.js';
import {Readiness} from './serving/readiness.js';
import {ServiceMonitor} from './serving/service-monitor.js';
import type {RecordReaders} from './record-readers.js';
import {RegistrationController} from './registration-controller.js';
import {ReplicaDirectory} from './replica-directory.js';
import {ReplicaConnectionPools} from './replica-connection-pools.js';
import {PaceAnnouncements} from './placement/pace-announcements.js';
import {RelativePaces} from './placement/relative-paces.js';
import {ServiceTimes} from './placement/service-times.js';
import {
	originsKeptMethod, originsMethod, type OriginsKept, type OriginsMessage,
} from './streams/origin-announcer.js';
import {OriginHolders} from './streams/origin-holders.js';
import {findOriginMethod, StreamOrigins, type OriginQuery} from './streams/stream-origins.js';
import {VersionHistory} from './streams/version-history.js';
import type {FrontSettings} from './settings.js';
import {TrafficMeter} from './traffic-meter.js';
import type {
	CallDialect, ClientAccountName, GatewayFeatures, MemberName,
} from './types.js';

/** What the adapter of a platform provides. */
export type FrontAdapter = {
	readonly api: ObjectApi;
	readonly records: RecordReaders;
	readonly dialect: CallDialect;
	readonly jobCalls: JobCallDialect;
	readonly itemHeaders: ItemHeaderBuilder;
	readonly features: GatewayFeatures;
};

/** Services that the program's entry point injects. */
export type FrontServices = {
	readonly log: EventLog;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Number of log lines dropped since the start, because the output was not read. */
	readonly droppedLines?: () => number;
};

/** Reserve for the time between two watches and for the list that follows a failed one, in milliseconds. */
const catchUpMarginMs = 900;

/** Wait of one watch of the kinds that the shared checks read as well, in milliseconds. */
const checkedWaitMs = 15_000;

/** Shortest wait of a watch, in milliseconds: each watch counts toward the rate of calls to the object API. */
const minWatchMs = 800;

/** Pause before the next watch of registrations, in milliseconds. Replicas register one after the other when a fleet starts or is replaced, and without a pause each would cost every front a call. A change must take effect within some seconds. */
const registrationPaceMs = 200;
const maxRegistrationPaceMs = 600;

/** Maximum size of a peer's answer, in bytes: more than a page of objects with all names and escapes. */
const maxAnswerBytes = 33_554_432;

/** Pause before the next watch of job records, in milliseconds. Many are written each second; what is needed sooner is read explicitly. */
const recordPaceMs = 250;

/** Reserve within the time for a change after an unresponsive watch has timed out, in milliseconds: the pauses before and after it, and the read that follows. */
const changeMarginMs = 500;

/**
Interval of the shared checks of one kind, in milliseconds. An unresponsive watch is detected only after its wait and the time-out of a call, but a change that it missed must still take effect in time: otherwise calls would go to a replica that has left, or by an outdated route, for as long as a watch waits. One process therefore reads the objects on behalf of all at this interval.

@param changeMs - Milliseconds within which a change must be in force.
*/
const checkMs = ({catchUpMs, objectApi: {timeoutMs}}: FrontSettings, changeMs: number) =>
	Math.max(minWatchMs, Math.min(catchUpMs - timeoutMs - catchUpMarginMs, changeMs - timeoutMs - changeMarginMs));

/** Interval of the shared checks of job records, in milliseconds: a result that was read at one process must be known at all within a second, although watches may lag by several. */
const recordCheckMs = 700;

/** Longest time that a call takes to reach its replica after it was sent, in milliseconds. */
const deliveryMs = 100;

/** Added to the time between two reads, in milliseconds: the delays of the processes that read when the first in line does not, and the time of the answer. */
const checkMarginMs = 250;

/**
Maximum age of the objects by which work is dispatched, in milliseconds. It is never so low that work would wait for a read that is in progress and on time.

@param changeMs - Milliseconds within which a change must be in force.
*/
const maxAgeMs = (settings: FrontSettings, changeMs: number): number => Math.max(changeMs - deliveryMs, checkMs(settings, changeMs) + checkMarginMs);

const feedOptions = ({catchUpMs, objectApi: {timeoutMs}}: FrontSettings) => {
	const waitMs = Math.max(minWatchMs, catchUpMs - timeoutMs - catchUpMarginMs);
	return {
		GatewayConfig: {waitMs: checkedWaitMs, mayLag: false},
		Registration: {
			waitMs: checkedWaitMs, mayLag: false, paceMs: registrationPaceMs, maxPaceMs: maxRegistrationPaceMs,
		},
		BatchRecord: {waitMs, mayLag: true, paceMs: recordPaceMs},
		Member: {waitMs: 4 * waitMs, mayLag: true},
		// Peers announce quarantined contents to each other sooner; the records are for processes that start.
		Quarantine: {waitMs: 4 * waitMs, mayLag: true},
	} as const satisfies Partial<Record<ObjectKind, FeedOptions>>;
};

/** The most that a front holds of jobs that it accepted while the object API was unavailable, in bytes; the keepers hold them all. */
const maxHeldBytes = 4_000_000;

/** Reserve of the shutdown time when requests in progress are aborted, in milliseconds: enough to send the last answers and to write the last log lines. */
const exitMarginMs = 400;

/** The front process. */
export class Front implements RunningProgram {
	readonly #settings: FrontSettings;
	readonly #clock: Clock;
	readonly #log: EventLog;
	readonly #droppedLines: () => number;
	readonly #lifecycle = new NodeLifecycle();
	readonly #metrics = new PrometheusMetrics();
	readonly #board = new ConfigBoard();
	readonly #directory = new ReplicaDirectory();
	readonly #loads = new LoadBoard();
	readonly #feeds: readonly ObjectFeed[];
	readonly #channel: DatagramChannel;
	readonly #rpcServer: HttpServer;
	readonly #announcer: PeerAnnouncer;
	readonly #checks: SharedChecks;
	readonly #registry: MemberRegistry;
	readonly #registrar: MemberRegistrar;
	readonly #traffic: TrafficMeter;
	readonly #connectionPools: ReplicaConnectionPools;
	readonly #peers: PeerTable;
	readonly #jobIndex: JobIndex;
	readonly #runner: BatchRunner;
	readonly #retention: BatchRetention;
	readonly #quarantine: Quarantine;
	readonly #partQuarantine: PartQuarantine;
	readonly #quarantineRecords: QuarantineRecords;
	readonly #streamOrigins: StreamOrigins;
	readonly #versionHistory: VersionHistory;
	readonly #readiness: Readiness;
	readonly #monitor: ServiceMonitor;
	readonly #admission: TargetAdmission;
	readonly #shutdown: ShutdownWindow;
	readonly #server: FrontServer;
	readonly #clientLoad: ClientLoad;
	readonly #readyServer: Server;
	readonly #readyConnections: ServerConnections;
	readonly #owned: readonly Disposable[];

	constructor(settings: FrontSettings, {log, clock, random, droppedLines = () => 0}: FrontServices, adapter: FrontAdapter) {
		this.#settings = settings;
		this.#clock = clock;
		this.#log = log;
		this.#droppedLines = droppedLines;
		const {
			records, dialect, jobCalls, itemHeaders, features,
		} = adapter;
		this.#shutdown = new ShutdownWindow(clock);
		const self = branded<MemberName>(settings.name);
		const {failureDomain} = settings;
		const metrics = this.#metrics;
		const clientLoad = new ClientLoad({limits: clientLimitsOf(settings.machineLimits), log, metrics});
		this.#clientLoad = clientLoad;
		const board = this.#board;
		const directory = this.#directory;
		const loads = this.#loads;
		const paces = new RelativePaces({replicasOf: service => directory.takingWork(service), clock});
		const paceAnnouncements = new PaceAnnouncements({directory, clock});
		const quarantine = new Quarantine({clock, log});
		this.#quarantine = quarantine;
		const partQuarantine = new PartQuarantine({
			self, clock, log, trialRank: part => this.#trialRank(part),
		});
		this.#partQuarantine = partQuarantine;
		const peers = new PeerTable({
			self, directory, loads, quarantine, partQuarantine, clock, log,
		});
		this.#peers = peers;
		const failedRuns = new FailedRuns({self, clock});
		const rateLimits = new RateLimits({
			clock, log, tolerance: settings.rateLimitTolerance, registeredCount: () => this.#registry.addresses.length, livePeers: () => peers.names,
		});
		const http = new HttpClient({maxResponseBytes: maxAnswerBytes});
		const countBytes = (cause: string, address: string, bytes: number) => {
			this.#traffic.add(cause, address, bytes);
		};

		this.#traffic = new TrafficMeter({
			failureDomain, metrics, domains: () => new Map([
				...peers.live.flatMap(({state}) => [state.address, state.rpcAddress].map(address => [address, state.failureDomain] as const)),
				...[...directory.all].map(({record}) => [record.address, record.failureDomain] as const),
			]),
		});
		const rpc = new RpcClient(http, countBytes);
		const direct = new MeteredObjectApi(adapter.api, metrics, clock);
		const api = new ObjectRelay({
			direct, rpc, clock, random, log, peerAddresses: () => peers.live.filter(({state}) => state.reachesObjectApi).map(({state}) => state.rpcAddress),
		});
		this.#rpcServer = peerServer({
			[objectCallMethod]: async (call: ObjectCall) => answerObjectCall(direct, call),
			[findOriginMethod]: async (query: OriginQuery) => this.#streamOrigins.answer(query),
			[takeOverMethod]: (handover: JobHandover): JobHandoverAnswer => ({isTaken: this.#runner.takeOver(handover)}),
		}, log, clientLoad);
		const options = feedOptions(settings);
		const progress = new ReadProgress(clock);
		const feedOf = (kind: keyof typeof options) => new ObjectFeed({
			api, reachability: api, clock, log, progress,
		}, kind, options[kind]);
		const isLeaving = () => this.#lifecycle.isLeaving;

		const configFeed = feedOf('GatewayConfig');
		const replicaFeed = feedOf('Registration');
		const recordFeed = feedOf('BatchRecord');
		const memberFeed = feedOf('Member');
		const quarantineFeed = feedOf('Quarantine');
		this.#feeds = [configFeed, replicaFeed, recordFeed, memberFeed, quarantineFeed];

		// eslint-disable-next-line no-new -- it subscribes to the feed, which keeps it alive.
		new ConfigController({
			board, feed: configFeed, records, log,
		});
		const waves = new WaveForecasts({
			board, directory, loads, peers, clock, metrics,
		});
		peers.onState(state => {
			waves.receive(state);
			this.#admission.receive(state);
			failedRuns.addReceived(state.failedRuns ?? []);
			rateLimits.receiveUsage(state, account => board.rateLimit(account));
			paceAnnouncements.receive(state);
			unreachableAnnouncements.receive(state);
		});
		const registrations = new RegistrationController({
			directory, feed: replicaFeed, records, clock, log, drainMs: settings.drainMs,
		});
		this.#channel = new DatagramChannel({
			[peerStateMethod](state: PeerState) {
				peers.receive(state);
			},
			[stateChangesMethod](changes: StateChanges) {
				peers.receiveChanges(changes);
			},
			[originsMethod]: (message: OriginsMessage) => {
				this.#streamOrigins.receive(message);
			},
			[originsKeptMethod]: (kept: OriginsKept) => {
				this.#streamOrigins.receiveKept(kept);
			},
		}, countBytes);
		this.#registry = new MemberRegistry(memberFeed, clock);
		this.#registrar = new MemberRegistrar({
			self, api, clock, log,
		});
		const freshnessOf = (kind: 'GatewayConfig' | 'Registration', feed: ObjectFeed, changeMs: number) => new FeedFreshness({
			kind, feed, reachability: api, clock, log, lastConfirmedAt: () => this.#checks.lastConfirmedAt(kind), maxAgeMs: maxAgeMs(settings, changeMs),
		});
		const replicaFreshness = freshnessOf('Registration', replicaFeed, settings.drainMs);
		this.#versionHistory = new VersionHistory({
			directory, feed: replicaFeed, clock, confirmedAt: () => this.#checks.lastConfirmedAt('Registration'), maxAgeMs: maxAgeMs(settings, settings.drainMs),
		});
		this.#streamOrigins = new StreamOrigins({
			channel: this.#channel, rpc, holders: new OriginHolders(peers), history: this.#versionHistory, clock, log, metrics,
		});
		const processCount = () => peers.processCount;
		const serviceTimes = new ServiceTimes(paces);
		const ranks = new CallRanks(clock);
		const admission = new TargetAdmission({
			otherwise: new DeadlineAdmission({serviceTimes, ranks, clock}), isByTarget: (route, service) => admitsByTarget(features, route, board.service(service)), serviceTimes, ranks, replicasOf: service => directory.takingWork(service), processCount, weightOf: owner => board.rateLimit(branded<ClientAccountName>(owner))?.perSecond, clock, random, log, metrics,
		});
		this.#admission = admission;
		this.#connectionPools = new ReplicaConnectionPools({
			board,
			directory,
			clock,
			processCount,
			onTransfer(address, bytes) {
				countBytes('replica', address, bytes);
			},
			onDefect(address, {message, stack}) {
				log.emit(gatewayEvents.connectionDefect, {address, reason: message, stack});
				metrics.count('gateway.connectionDefects');
			},
		});
		const reachability = new ReplicaReachability({
			directory, clock, log, dial,
		});
		const unreachableAnnouncements = new UnreachableAnnouncements({
			reachability, directory, clock, announce: () => {
				this.#announcer.announceSoon();
			},
		});
		const contents = new ContentStore(api, settings.objectApi.maxValueBytes);
		const jobIndex = new JobIndex(recordFeed);
		this.#jobIndex = jobIndex;
		const heldJobs = new HeldJobs({
			journal: noJournal, maxBytes: maxHeldBytes, api, clock, log,
		});
		const claims = new JobClaims({
			self, jobIndex, peers, clock, log, isLeaving, membersFirstLoadedAt: () => this.#registry.firstLoadedAt,
		});
		this.#runner = new BatchRunner({
			self, api, feed: recordFeed, jobIndex, contents, peers, rpc, claims, failedRuns, board, directory, replicaFreshness, loads, connectionPools: this.#connectionPools, reachability, quarantine, partQuarantine, itemPauses: new ItemPauses(clock), waves, dialect, itemHeaders, clock, random, log, metrics, failureDomain, paces,
		});
		this.#retention = new BatchRetention({
			self, api, jobIndex, peers, clock, log, resultRetentionMs: settings.resultsKeptMs,
		});
		this.#quarantineRecords = new QuarantineRecords({
			self, quarantine, partQuarantine, feed: quarantineFeed, api, peers, clock, log,
		});
		this.#announcer = new PeerAnnouncer({
			self, failureDomain, channel: this.#channel, peers, directory, loads, quarantine, partQuarantine, failedRuns, rateLimits, sections: [() => paceAnnouncements.section(), () => unreachableAnnouncements.section(), () => waves.announcement(), () => admission.announcement()], checks: () => this.#checks.announcement(), clock, isLeaving, memberAddresses: () => this.#registry.addresses, claimedJobs: () => claims.claimed, waitingItems: () => this.#runner.waiting, rpcAddress: () => this.#rpcServer.address, reachesObjectApi: () => api.isDirect,
		});
		this.#checks = new SharedChecks({
			self,
			peers,
			clock,
			progress,
			feeds: [
				{kind: 'GatewayConfig', feed: configFeed, intervalMs: checkMs(settings, settings.configMs)},
				{kind: 'Registration', feed: replicaFeed, intervalMs: checkMs(settings, settings.drainMs)},
				{
					kind: 'BatchRecord', feed: recordFeed, intervalMs: recordCheckMs, lagMs: 2 * recordPaceMs,
				},
			],
			announce: () => {
				this.#announcer.announceSoon();
			},
		});
		this.#readiness = new Readiness({
			lifecycle: this.#lifecycle, board, directory,
		});
		const outcomes = new CallOutcomes();
		this.#monitor = new ServiceMonitor({
			readiness: this.#readiness, outcomes, board, directory, configFeed, replicaFeed, reachesObjectApi: () => api.isDirect, peerCount: () => peers.live.length, waitingCalls: () => admission.waiting, quarantinedCount: () => quarantine.held.length + partQuarantine.held.length, clock, log, metrics,
		});
		this.#server = new FrontServer({
			board, clientLoad, directory, firstRead: new FirstRead([configFeed, replicaFeed]), replicaFreshness, configFreshness: freshnessOf('GatewayConfig', configFeed, settings.configMs), loads, connectionPools: this.#connectionPools, reachability, quarantine, partQuarantine, streamOrigins: this.#streamOrigins, serviceTimes, paces, admission, shutdown: this.#shutdown, outcomes, dialect, clock, random, log, metrics, processCount, failureDomain, continuesRuns: settings.continuesRuns, jobCalls,
			gate: new CallerGate({
				board, dialect, limits: rateLimits, clock, log, metrics, outcomes, configConfirmedAt: () => this.#checks.lastConfirmedAt('GatewayConfig'), staleAfterMs: settings.refuseKeysAfterMs,
			}),
			intake: new JobIntake({
				api,
				feed: recordFeed,
				jobIndex,
				contents,
				clock,
				log,
				metrics,
				processCount,
				heldJobs,
				keeperPool: new KeeperPool({rpc, keeperAddresses: () => this.#registry.keeperAddresses, toleratedLosses: settings.toleratedLosses}),
			}),
			reader: new JobReader({
				api, feed: recordFeed, jobIndex, contents, clock, log, confirmedAt: () => this.#checks.lastConfirmedAt('BatchRecord'),
				heldJobSearch: new HeldJobSearch({
					rpc, clock, toleratedLosses: settings.toleratedLosses, keeperAddresses: () => this.#registry.firstLoadedAt === undefined ? undefined : this.#registry.keeperAddresses,
				}),
			}),
		});
		this.#readyServer = createServer(boundedServerOptions);
		this.#readyConnections = new ServerConnections(this.#readyServer, (_req, res) => {
			res.writeHead(this.#readiness.isReady ? 200 : 503, {'content-length': '0'});
			res.end();
		}, {load: clientLoad, role: 'readiness', maxBodyBytes: () => 0});
		this.#owned = [this.#monitor, this.#retention, this.#quarantineRecords, this.#runner, this.#announcer, this.#registrar, registrations, this.#checks, unreachableAnnouncements, progress, ...this.#feeds, reachability, this.#connectionPools, this.#server, this.#readyConnections, this.#admission, this.#streamOrigins, this.#channel, this.#rpcServer, heldJobs, api, http, this.#metrics, clientLoad, this.#lifecycle];
	}

	get addresses(): Readonly<Record<string, string>> {
		const {address, port} = this.#readyServer.address() as AddressInfo;
		return {callers: this.#server.address, peers: this.#channel.address, ready: formatAddress({host: address, port})};
	}

	/** Starts to listen and to follow the object API. The process may become ready some time later. */
	async start(): Promise<Either<StartError, Front>> {
		const {listen, readyListen, peerListen, metricsListen} = this.#settings;
		const onAwaited = logAwaited(this.#log);
		if (metricsListen) {
			void this.#metrics.serve(metricsListen, {
				onRead: () => {
					this.#recordGauges();
				},
				load: this.#clientLoad,
				onAwaited,
			});
		}

		// Waiting for one address delays neither the others nor the first read.
		const listening = [
			this.#server.listen(listen, onAwaited),
			this.#channel.listen(peerListen, onAwaited),
			this.#rpcServer.listen(peerListen, onAwaited),
			listenOn(this.#readyServer, readyListen, onAwaited),
		];
		this.#feeds.forEach(feed => {
			feed.start();
		});
		const outcomes: Array<Either<StartError, unknown>> = await Promise.all(listening);
		const failed = outcomes.find(outcome => outcome.isLeft());
		if (failed) {
			return failed.map(() => this);
		}

		this.#announcer.start();
		this.#checks.start();
		this.#runner.start();
		this.#retention.start();
		this.#quarantineRecords.start();
		void this.#registrar.register({address: this.#channel.address, role: 'front'});
		this.#lifecycle.send('started');
		this.#monitor.noteMilestone('listenMs');
		this.#monitor.start();
		return Right(this);
	}

	/**
	Shuts down gracefully: jobs are handed over to peers at once, and connections close as their answers end. Calls are aborted only when the shutdown time is over.

	@param requestedAt - When the shutdown was requested, in milliseconds on the monotonic clock.
	*/
	async drain(requestedAt = this.#clock.now()): Promise<void> {
		const durationMs = this.#settings.shutdownMs - exitMarginMs;
		const endsAt = this.#clock.now() + durationMs;
		this.#lifecycle.send('drain');
		this.#shutdown.begin(requestedAt, durationMs);
		this.#server.announceClose();
		this.#logShutdown('removal');
		this.#announcer.announceSoon();
		this.#streamOrigins.handOver();
		const handedOver = this.#runner.handOver().then(() => {
			this.#announcer.announceSoon();
		});
		await this.#clock.sleep(requestedAt + balancerRemovalMs - this.#clock.now());
		this.#logShutdown('closing');
		await Promise.race([Promise.all([this.#server.close(), handedOver]), this.#clock.sleep(endsAt - this.#clock.now())]);
		this.#logShutdown('end');
		await this.#server.abortCalls();
		this.#lifecycle.send('drained');
	}

	dispose(): void {
		this.#owned.forEach(part => {
			part.dispose();
		});
	}

	#logShutdown(phase: 'removal' | 'closing' | 'end') {
		this.#log.emit(gatewayEvents.shutdownPhase, {
			phase, calls: this.#server.activeCalls, connections: this.#server.connectionCount, leftMs: Math.round(this.#shutdown.leftMs),
		});
	}

	/** A process that is partitioned from most of its peers would not receive the announcement of another's test. */
	#trialRank(part: PartKey): number | undefined {
		const names = [branded<MemberName>(this.#settings.name), ...this.#peers.names];
		return 2 * names.length > this.#registry.addresses.length ? rankMembers(part, names).indexOf(names[0]!) : undefined;
	}

	#recordGauges() {
		this.#traffic.report();
		this.#monitor.recordGauges();
		const metrics = this.#metrics;
		const now = this.#clock.now();
		metrics.gauge('gateway.callsUnderWay', this.#server.activeCalls);
		metrics.gauge('gateway.waitingCalls', this.#admission.waiting);
		metrics.gauge('gateway.scarceServices', this.#admission.scarceServices);
		metrics.gauge('gateway.places', this.#loads.online, {kind: 'online'});
		metrics.gauge('gateway.places', this.#loads.batch, {kind: 'batch'});
		metrics.gauge('gateway.peers', this.#peers.live.length);
		metrics.gauge('gateway.replicas', this.#directory.size);
		metrics.gauge('gateway.softwareVersions', this.#versionHistory.versionCount);
		metrics.gauge('gateway.streamOrigins', this.#streamOrigins.size);
		metrics.gauge('gateway.connectionsMade', this.#connectionPools.createdCount);
		metrics.gauge('gateway.configVersion', this.#board.config?.version ?? 0);
		metrics.gauge('gateway.quarantined', this.#quarantine.held.length);
		metrics.gauge('gateway.quarantinedParts', this.#partQuarantine.held.length);
		metrics.gauge('gateway.openJobs', this.#jobIndex.openJobs.length);
		const ages = this.#feeds.map(feed => now - feed.heardAt);
		metrics.gauge('gateway.objectApiSilenceMs', Math.max(...ages));
		metrics.gauge('log.linesDropped', this.#droppedLines());
		metrics.gauge('process.residentBytes', process.memoryUsage.rss());
	}
}
