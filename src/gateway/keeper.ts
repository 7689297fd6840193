/**
The composition root of `citronyard-keeper`, which runs on VMs with a disk. It holds batch jobs that were accepted while the object API was away, until they stand there; nothing else is kept on disks. So when operators ask for such a VM to be emptied, it may be taken away as soon as no job is held.
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
import type {HttpServer} from '../io/http-server.js';
import type {RunningProgram, StartError} from '../io/program.js';
import {PrometheusMetrics} from '../io/prometheus-metrics.js';
import {readHeldJob, holdJobMethod, type HoldAnswer} from './keeping/held-job.js';
import {HeldJobs} from './keeping/held-jobs.js';
import {JobJournal} from './keeping/job-journal.js';
import {gatewayEvents} from './log-events.js';
import {ObjectFeed} from './object-feed.js';
import {MemberRegistrar} from './peers/member-registrar.js';
import {peerServer} from './peers/peer-server.js';
import type {RecordReaders} from './record-readers.js';
import type {KeeperSettings} from './settings.js';
import type {MemberName} from './types.js';

/** What the keeper needs. */
export type KeeperParts = {
	readonly api: ObjectApi;
	readonly records: Pick<RecordReaders, 'readRetirement' | 'retirementDone'>;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Retirements give seconds; a long wait keeps the calls of many keepers few. In milliseconds. */
const watchMs = 5000;

/** Until a keeper that still holds jobs looks again whether it is empty, in milliseconds. */
const emptyingMs = 300;

/** See the module's head. */
export class Keeper implements RunningProgram {
	readonly #settings: KeeperSettings;
	readonly #parts: KeeperParts;
	readonly #lifecycle = new NodeLifecycle();
	readonly #metrics = new PrometheusMetrics();
	readonly #feed: ObjectFeed;
	readonly #entry: MemberRegistrar;
	readonly #held: HeldJobs;
	readonly #server: HttpServer;
	readonly #owned: readonly Disposable[];
	#isRetiring = false;
	#answeredVersion = branded<Revision>(0);

	constructor(settings: KeeperSettings, parts: KeeperParts) {
		this.#settings = settings;
		this.#parts = parts;
		const {api, clock, log} = parts;
		this.#feed = new ObjectFeed(parts, 'Retirement', {waitMs: watchMs, mayLag: true});
		this.#entry = new MemberRegistrar({
			self: branded<MemberName>(settings.name), api, clock, log,
		});
		this.#held = new HeldJobs({
			journal: new JobJournal(path.join(settings.dataDir, 'held-jobs')), api, clock, log,
		});
		this.#server = peerServer({
			[holdJobMethod]: async (value: unknown) => this.#hold(value),
		}, log);
		this.#feed.onSnapshot(items => {
			this.#isRetiring = false;
			items.forEach(item => {
				void this.#answer(item);
			});
		});
		this.#feed.onChanges(events => {
			this.#isRetiring &&= !events.some(({type, name}) => type === 'delete' && name === settings.name);
			events.filter(({type}) => type === 'put').forEach(({name, version, value, kind}) => {
				void this.#answer({
					name, version, value, kind,
				});
			});
		});
		this.#owned = [this.#held, this.#entry, this.#feed, this.#server, this.#metrics, this.#lifecycle];
	}

	get addresses(): Readonly<Record<string, string>> {
		return {peers: this.#server.address};
	}

	/** Takes up held jobs, and begins to take others. */
	async start(): Promise<Either<StartError, Keeper>> {
		const {peerListen, metricsListen} = this.#settings;
		const listening = await this.#server.listen(peerListen);
		if (listening.isLeft()) {
			return listening.map(() => this);
		}

		if (metricsListen) {
			this.#metrics.serve(metricsListen, () => {
				this.#metrics.gauge('gateway.heldJobs', this.#held.size);
			});
		}

		await this.#held.start();
		this.#feed.start();
		void this.#entry.register({address: this.#server.address, role: 'keeper'});
		this.#lifecycle.send('started');
		return Right(this);
	}

	/** What is held is on the disk; the next start goes on with it. */
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

	/**
	Answers for the VM that it runs on.

	From the wish on nothing more is held: the VM may be taken away with its disk the moment after the answer, and a job that was accepted in between would be lost with it. The write is conditional, so that the answer belongs to the wish as it was read; one that the object API did not take is made again, or the VM would never be taken away.
	*/
	async #answer({name, version, value}: StoredObject): Promise<void> {
		const {api, records, clock, log} = this.#parts;
		// The own answer comes back as a change of the wish.
		if (name !== this.#settings.name || version <= this.#answeredVersion || records.readRetirement(value).isLeft()) {
			return;
		}

		this.#isRetiring = true;
		while (this.#held.size > 0) {
			await clock.sleep(emptyingMs);
		}

		let answered = await api.update('Retirement', name, records.retirementDone, version);
		while (isPassing(errorOf(answered)) && !this.#lifecycle.isLeaving) {
			await clock.sleep(emptyingMs);
			answered = await api.update('Retirement', name, records.retirementDone, version);
		}

		answered.ifRight(({version: written}) => {
			this.#answeredVersion = written;
		});
		log.emit(gatewayEvents.retirementAnswered, {name, outcome: errorOf(answered)?.kind ?? 'written'});
	}
}

/** A conflict means that the wish has changed, and brings it anew; one that is gone needs no answer. */
const isPassing = (err: ApiError | undefined): boolean => err?.kind === 'unavailable' || err?.kind === 'unknown';
