/**
The composition root of `citronyard-keeper`, which runs on VMs with a disk. It holds batch jobs that were accepted while the object API was away, until they stand there; nothing else is kept on disks. So when operators ask for such a VM to be emptied, it may be taken away as soon as no job is held.
*/
import path from 'node:path';
import {Right, type Either} from 'purify-ts/Either';
import {branded} from '../common/ids.js';
import {NodeLifecycle} from '../common/node-lifecycle.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../common/services.js';
import type {StoredObject} from '../common/types.js';
import type {HttpServer} from '../io/http-server.js';
import type {RunningProgram, StartError} from '../io/program.js';
import {PrometheusMetrics} from '../io/prometheus-metrics.js';
import {readHeldJob, holdJobMethod} from './keeping/held-job.js';
import {HeldJobs} from './keeping/held-jobs.js';
import {JobJournal} from './keeping/job-journal.js';
import {gatewayEvents} from './log-events.js';
import {ObjectFeed} from './object-feed.js';
import {MemberEntry} from './peers/member-entry.js';
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
	readonly #entry: MemberEntry;
	readonly #held: HeldJobs;
	readonly #server: HttpServer;
	readonly #owned: readonly Disposable[];

	constructor(settings: KeeperSettings, parts: KeeperParts) {
		this.#settings = settings;
		this.#parts = parts;
		const {api, clock, log} = parts;
		this.#feed = new ObjectFeed(parts, 'Retirement', {waitMs: watchMs, mayLag: true});
		this.#entry = new MemberEntry({
			self: branded<MemberName>(settings.name), api, clock, log,
		});
		this.#held = new HeldJobs({
			journal: new JobJournal(path.join(settings.dataDir, 'held-jobs')), api, clock, log,
		});
		this.#server = peerServer({
			[holdJobMethod]: async (value: unknown) => this.#hold(value),
		}, log);
		this.#feed.onSnapshot(items => {
			items.forEach(item => {
				void this.#answer(item);
			});
		});
		this.#feed.onChanges(events => {
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
		void this.#entry.enter({address: this.#server.address, role: 'keeper'});
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

	async #hold(value: unknown): Promise<{readonly isHeld: boolean}> {
		const job = readHeldJob(value);
		return {isHeld: job !== undefined && !this.#lifecycle.isLeaving && await this.#held.hold(job)};
	}

	/** Answers for the VM that it runs on. The write is conditional: the answer belongs to the wish as it was read. */
	async #answer({name, version, value}: StoredObject): Promise<void> {
		const {api, records, clock, log} = this.#parts;
		if (name !== this.#settings.name || records.readRetirement(value).isLeft()) {
			return;
		}

		while (this.#held.size > 0) {
			await clock.sleep(emptyingMs);
		}

		const written = await api.update('Retirement', name, records.retirementDone, version);
		log.emit(gatewayEvents.retirementAnswered, {name, outcome: written.isRight() ? 'written' : 'not written'});
	}
}
