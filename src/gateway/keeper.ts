/**
The composition root of `citronyard-keeper`, which runs on VMs with a disk. It persists batch jobs that were accepted while the object API was unavailable, until they are stored there; the system keeps nothing else on disks. When operators request the retirement of such a VM, it may therefore be removed as soon as no job is held.
*/
import path from 'node:path';
import {Right, type Either} from 'purify-ts/Either';
import {branded, type Revision} from '../common/ids.js';
import {NodeLifecycle} from '../common/node-lifecycle.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../common/services.js';
import {errorOf} from '../common/error-of.js';
import type {ApiError, StoredObject} from '../common/types.js';
import {logAwaited} from '../io/bind-address.js';
import {clientLimitsOf} from '../io/client-limits.js';
import {ClientLoad} from '../io/client-load.js';
import type {HttpServer} from '../io/http-server.js';
import type {RunningProgram, StartError} from '../io/program.js';
import {PrometheusMetrics} from '../io/prometheus-metrics.js';
import {
	findHeldJobMethod, holdJobMethod, readHeldJob, type FindHeldJobAnswer, type HoldAnswer,
} from './keeping/held-job.js';
import {HeldJobs} from './keeping/held-jobs.js';
import {JobJournal} from './keeping/job-journal.js';
import {gatewayEvents} from './log-events.js';
import {ObjectFeed} from './object-feed.js';
import {MemberRegistrar} from './peers/member-registrar.js';
import {peerServer} from './peers/peer-server.js';
import type {RecordReaders} from './record-readers.js';
import type {KeeperSettings} from './settings.js';
import type {BatchJobId, MemberName} from './types.js';

/** Dependencies of the keeper. */
export type KeeperParts = {
	readonly api: ObjectApi;
	readonly records: Pick<RecordReaders, 'readRetirement' | 'retirementDone'>;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Wait of one watch, in milliseconds. Retirements allow some seconds, and long waits keep the call rate of many keepers low. */
const watchMs = 5000;

/** Interval at which a retiring keeper checks whether it still holds jobs, and repeats an answer that failed; in milliseconds. */
const emptyCheckMs = 300;

/** The keeper process. */
export class Keeper implements RunningProgram {
	readonly #settings: KeeperSettings;
	readonly #parts: KeeperParts;
	readonly #lifecycle = new NodeLifecycle();
	readonly #metrics = new PrometheusMetrics();
	readonly #feed: ObjectFeed;
	readonly #entry: MemberRegistrar;
	readonly #held: HeldJobs;
	readonly #clientLoad: ClientLoad;
	readonly #server: HttpServer;
	readonly #owned: readonly Disposable[];
	/** Resolves once the jobs on the disk have been read. */
	#loaded: Promise<void> | undefined;
	#isRetiring = false;
	#answeredVersion = branded<Revision>(0);

	constructor(settings: KeeperSettings, parts: KeeperParts) {
		this.#settings = settings;
		this.#parts = parts;
		const {api, clock, log} = parts;
		this.#clientLoad = new ClientLoad({limits: clientLimitsOf(settings.machineLimits), log, metrics: this.#metrics});
		this.#feed = new ObjectFeed(parts, 'Retirement', {waitMs: watchMs, mayLag: true});
		this.#entry = new MemberRegistrar({
			self: branded<MemberName>(settings.name), api, clock, log,
		});
		this.#held = new HeldJobs({
			journal: new JobJournal(path.join(settings.dataDir, 'held-jobs')), api, clock, log,
		});
		this.#server = peerServer({
			[holdJobMethod]: async (value: unknown) => this.#hold(value),
			[findHeldJobMethod]: async ({job}: {readonly job: BatchJobId}) => this.#find(job),
		}, log, this.#clientLoad);
		this.#feed.onSnapshot(items => {
			this.#isRetiring = false;
			items.forEach(item => {
				void this.#answerRetirement(item);
			});
		});
		this.#feed.onChanges(events => {
			this.#isRetiring &&= !events.some(({type, name}) => type === 'delete' && name === settings.name);
			events.filter(({type}) => type === 'put').forEach(({name, version, value, kind}) => {
				void this.#answerRetirement({
					name, version, value, kind,
				});
			});
		});
		this.#owned = [this.#held, this.#entry, this.#feed, this.#server, this.#metrics, this.#clientLoad, this.#lifecycle];
	}

	get addresses(): Readonly<Record<string, string>> {
		return {peers: this.#server.address};
	}

	/** Loads the jobs held on disk, and starts to accept others. */
	async start(): Promise<Either<StartError, Keeper>> {
		const {peerListen, metricsListen} = this.#settings;
		const onAwaited = logAwaited(this.#parts.log);
		if (metricsListen) {
			void this.#metrics.serve(metricsListen, {
				onRead: () => {
					this.#metrics.gauge('gateway.heldJobs', this.#held.size);
				},
				load: this.#clientLoad,
				onAwaited,
			});
		}

		const listening = await this.#server.listen(peerListen, onAwaited);
		if (listening.isLeft()) {
			return listening.map(() => this);
		}

		this.#loaded = this.#held.start();
		await this.#loaded;
		this.#feed.start();
		void this.#entry.register({address: this.#server.address, role: 'keeper'});
		this.#lifecycle.send('started');
		return Right(this);
	}

	/** Held jobs are on the disk, and the next start continues with them. */
	async drain(): Promise<void> {
		this.#lifecycle.send('drain');
	}

	dispose(): void {
		this.#owned.forEach(part => {
			part.dispose();
		});
	}

	async #hold(value: unknown): Promise<HoldAnswer> {
		const job = readHeldJob(value);
		return job === undefined || this.#lifecycle.isLeaving || this.#isRetiring ? 'refused' : this.#held.hold(job);
	}

	async #find(job: BatchJobId): Promise<FindHeldJobAnswer> {
		await this.#loaded;
		return {isKnown: this.#held.knows(job)};
	}

	/**
	Answers a retirement request for the VM that this process runs on, once no job is held.

	From the request on no more jobs are accepted: the VM may be removed with its disk right after the answer, and a job accepted in between would be lost with it. The write is conditional, so that the answer applies to the request as it was read. A write that the object API did not accept is repeated, or the VM would never be removed.
	*/
	async #answerRetirement({name, version, value}: StoredObject): Promise<void> {
		const {api, records, clock, log} = this.#parts;
		// This keeper's own answer is received as a change of the request.
		if (name !== this.#settings.name || version <= this.#answeredVersion || records.readRetirement(value).isLeft()) {
			return;
		}

		this.#isRetiring = true;
		while (this.#held.size > 0) {
			await clock.sleep(emptyCheckMs);
		}

		let answered = await api.update('Retirement', name, records.retirementDone, version);
		while (isTransient(errorOf(answered)) && !this.#lifecycle.isLeaving) {
			await clock.sleep(emptyCheckMs);
			answered = await api.update('Retirement', name, records.retirementDone, version);
		}

		answered.ifRight(({version: written}) => {
			this.#answeredVersion = written;
		});
		log.emit(gatewayEvents.retirementAnswered, {name, outcome: errorOf(answered)?.kind ?? 'written'});
	}
}

/** Whether a failed write is worth repeating. After a conflict the changed request is received through the feed, and one that was removed needs no answer. */
const isTransient = (err: ApiError | undefined): boolean => err?.kind === 'unavailable' || err?.kind === 'unknown';
