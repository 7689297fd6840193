/**
All batch jobs as the object API's records tell them, in the order of their versions: part of the blackboard.

Whether a job fits under what may wait of its account on its route is decided here, from the records before it, and so alike in every process: two processes that take jobs in at the same moment need not ask each other, since each finds the other's job before or after its own. Nothing of a job runs, and no caller is told that it was accepted, before its record has come back in this order.
*/
import {EventEmitter} from 'node:events';
import {branded, type Revision} from '../../common/ids.js';
import type {StoredObject, WatchEvent} from '../../common/types.js';
import type {ObjectFeed} from '../object-feed.js';
import type {BatchJobId, ClientAccountName} from '../types.js';
import {BatchJob} from './batch-job.js';
import {
	readRecord, tokensOf, type BatchRecord, type EndRecord, type HandoverRecord, type JobRecord, type PageRecord,
} from './batch-records.js';

const byVersion = (a: StoredObject, b: StoredObject): number => a.version - b.version;

const jobNamePattern = /^job-(?<job>.+)$/v;

type Appliers = {readonly [K in BatchRecord['type']]: (record: Extract<BatchRecord, {type: K}>, origin: Origin) => void};

/** Where a record stands. */
type Origin = {readonly name: string; readonly revision: Revision};

/** A held job has no place among the versions yet. */
const heldRevision = branded<Revision>(0);

/** See the module's head. */
export class JobIndex {
	readonly #events = new EventEmitter();
	readonly #jobs = new Map<BatchJobId, BatchJob>();
	/** Accepted here, and not in the object API yet. */
	readonly #held = new Map<BatchJobId, JobRecord>();
	/** Ended, and not in the object API yet. */
	readonly #endedBefore = new Set<BatchJobId>();
	#isKnown = false;

	readonly #appliers: Appliers = {
		job: (record: JobRecord, {revision}: Origin) => {
			this.#addJob(record, revision);
		},
		page: (record: PageRecord) => {
			this.#jobs.get(record.job)?.addPage(record);
		},
		end: (record: EndRecord) => {
			this.#end(record.job);
		},
		handover: (record: HandoverRecord, {name}: Origin) => {
			this.#jobs.get(record.job)?.addHandover(record.content, name);
		},
	};

	constructor(feed: ObjectFeed) {
		this.#events.setMaxListeners(0);
		feed.onSnapshot(items => {
			this.#takeSnapshot(items);
		});
		feed.onChanges(events => {
			this.#takeChanges(events);
		});
	}

	/** Whether the records have been read at all. */
	get isKnown(): boolean {
		return this.#isKnown;
	}

	get openJobs(): BatchJob[] {
		return [...this.#jobs.values()].filter(({isOpen}) => isOpen);
	}

	get all(): Iterable<BatchJob> {
		return this.#jobs.values();
	}

	job(id: BatchJobId): BatchJob | undefined {
		return this.#jobs.get(id);
	}

	/** Tokens of an account's accepted items without a result on a route. Jobs without an account share one bound. */
	waitingTokens(route: string, account?: ClientAccountName): number {
		return [...this.#jobs.values()].reduce((sum, job) => job.record.route === route && job.record.account === account ? sum + job.waitingTokens : sum, 0);
	}

	/** Calls the listener after records were taken, with the jobs that they concern. */
	onChange(listener: (jobs: ReadonlySet<BatchJobId>) => void): void {
		this.#events.on('change', listener);
	}

	/**
	Waits for a change of a job.

	@param isEnough - Asked at once and after each change.
	@returns Whether it was enough before the time was up.
	*/
	async waitUntil(id: BatchJobId, isEnough: () => boolean, limitMs: number): Promise<boolean> {
		if (isEnough() || limitMs <= 0) {
			return isEnough();
		}

		return new Promise(resolve => {
			const finish = (outcome: boolean) => {
				clearTimeout(timer);
				this.#events.off('change', onChange);
				resolve(outcome);
			};

			const onChange = (jobs: ReadonlySet<BatchJobId>) => {
				if (jobs.has(id) && isEnough()) {
					finish(true);
				}
			};

			const timer = setTimeout(() => {
				finish(false);
			}, limitMs);
			this.#events.on('change', onChange);
		});
	}

	/** This process has accepted a job that keepers hold until its record can be written. */
	addHeld(record: JobRecord): void {
		if (!this.#jobs.has(record.job)) {
			this.#held.set(record.job, record);
			this.#addHeldJob(record);
			this.#events.emit('change', new Set([record.job]));
		}
	}

	/** Tokens of jobs that this process has accepted and that are held. */
	get heldTokens(): number {
		return [...this.#held.values()].reduce((sum, {items}) => sum + tokensOf(items), 0);
	}

	/** A caller asked for the end of a job, and the record of it is still to be written. */
	markEnded(id: BatchJobId): void {
		this.#end(id);
		this.#events.emit('change', new Set([id]));
	}

	#takeSnapshot(items: readonly StoredObject[]) {
		const before = [...this.#jobs.keys()];
		this.#jobs.clear();
		const concerned = items.toSorted(byVersion).flatMap(({name, value, version}) => this.#apply(value, {name, revision: version}));
		// What is held is in no list yet.
		this.#held.forEach(record => {
			this.#addHeldJob(record);
		});
		this.#isKnown = true;
		this.#events.emit('change', new Set([...before, ...concerned]));
	}

	#takeChanges(events: readonly WatchEvent[]) {
		const concerned = events.flatMap(event => event.type === 'put' ? this.#apply(event.value, {name: event.name, revision: event.version}) : this.#remove(event.name));
		this.#events.emit('change', new Set(concerned));
	}

	#apply(value: unknown, origin: Origin): BatchJobId[] {
		const record = readRecord(value);
		if (!record) {
			return [];
		}

		(this.#appliers[record.type] as (record: BatchRecord, origin: Origin) => void)(record, origin);
		return [record.job];
	}

	#remove(name: string): BatchJobId[] {
		const id = jobNamePattern.exec(name)?.groups?.job as BatchJobId | undefined;
		if (id === undefined) {
			return [];
		}

		this.#jobs.delete(id);
		const held = this.#held.get(id);
		if (held) {
			this.#addHeldJob(held);
		}

		return [id];
	}

	/** Held jobs were accepted with so much room that no order of records decides. */
	#addHeldJob(record: JobRecord) {
		this.#jobs.set(record.job, new BatchJob(record, heldRevision, {isAdmitted: true, isHeld: true}));
		if (this.#endedBefore.has(record.job)) {
			this.#jobs.get(record.job)?.end();
		}
	}

	/** The end of a job that was held may stand in the object API before the job does. */
	#end(id: BatchJobId) {
		const job = this.#jobs.get(id);
		job?.end();
		if (!job || job.isHeld) {
			this.#endedBefore.add(id);
		}
	}

	#addJob(record: JobRecord, revision: Revision) {
		const {route, account, maxWaitingTokens, isRoomy, items} = record;
		const waitsElsewhere = this.waitingTokens(route, account) - (this.#held.has(record.job) ? tokensOf(items) : 0);
		const isAdmitted = isRoomy || waitsElsewhere + tokensOf(items) <= maxWaitingTokens;
		if (!isAdmitted && this.#held.has(record.job)) {
			// Another process judged the job too large and is about to take its record back. What this one has accepted stays accepted, and keepers will write it.
			return;
		}

		this.#held.delete(record.job);
		this.#jobs.set(record.job, new BatchJob(record, revision, {isAdmitted}));
		if (this.#endedBefore.delete(record.job)) {
			this.#jobs.get(record.job)?.end();
		}
	}
}
