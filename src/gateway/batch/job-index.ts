/**
The index of all batch jobs, built from the object API's records in the order of their versions; part of the blackboard.

Whether a job fits under its account's limit of waiting tokens on its route is decided here, from the records that precede it, so every process reaches the same decision: two processes that accept jobs at the same moment need not consult each other, since each sees the other's job before or after its own. A job is neither run nor reported to its caller as accepted before its record has been received in this order.

What only this process knows, a requested end or a job that keepers hold, has no part in that decision: a process that does not know it would decide otherwise.
*/
import {EventEmitter} from 'node:events';
import {branded, type Revision} from '../../common/ids.js';
import type {StoredObject, WatchEvent} from '../../common/types.js';
import type {ObjectFeed} from '../object-feed.js';
import type {BatchJobId, ClientAccountName} from '../types.js';
import {BatchJob} from './batch-job.js';
import {WaitingLedger, type TokenOwner} from './waiting-ledger.js';
import {
	readRecord, tokensOf, type BatchRecord, type EndRecord, type HandoverRecord, type JobRecord, type PageRecord, type RemovalRecord,
} from './batch-records.js';

const byVersion = (a: StoredObject, b: StoredObject): number => a.version - b.version;

const jobNamePattern = /^job-(?<job>.+)$/v;

type Appliers = {readonly [K in BatchRecord['type']]: (record: Extract<BatchRecord, {type: K}>, origin: Origin) => void};

/** The name and version under which a record is stored. */
type Origin = {readonly name: string; readonly revision: Revision};

/** A held job has no version in the object API yet. */
const heldRevision = branded<Revision>(0);

/** See the module's head. */
export class JobIndex {
	readonly #events = new EventEmitter();
	readonly #jobs = new Map<BatchJobId, BatchJob>();
	/** Waiting tokens by the records alone. */
	readonly #ledger = new WaitingLedger();
	/** Jobs that this process accepted and that are not in the object API yet. */
	readonly #heldJobs = new Map<BatchJobId, JobRecord>();
	/** Jobs whose record of an end precedes their own. */
	readonly #endedBeforeWritten = new Set<BatchJobId>();
	/** Jobs that were asked to end here, until the record of the end is received. */
	readonly #endRequested = new Set<BatchJobId>();
	readonly #removals = new Map<BatchJobId, RemovalRecord>();
	#hasLoaded = false;

	readonly #appliers: Appliers = {
		job: (record: JobRecord, {revision}: Origin) => {
			this.#addJob(record, revision);
		},
		page: (record: PageRecord) => {
			this.#change(record.job, job => {
				job.admit();
				job.addPage(record);
			});
		},
		end: (record: EndRecord) => {
			this.#end(record.job);
		},
		handover: (record: HandoverRecord, {name}: Origin) => {
			this.#change(record.job, job => {
				job.admit();
				job.addHandover(record.content, name);
			});
		},
		removal: (record: RemovalRecord) => {
			this.#removals.set(record.job, record);
			this.#forget(record.job);
		},
	};

	constructor(feed: ObjectFeed) {
		this.#events.setMaxListeners(0);
		feed.onSnapshot((items, version) => {
			// Objects that were created during the list are received again, in their order, by the watch that follows.
			this.#applySnapshot(items.filter(item => item.version <= version));
		});
		feed.onChanges(events => {
			this.#applyChanges(events);
		});
		this.#events.on('inconsistent', () => {
			feed.listAgain();
		});
	}

	/** Whether the records have been read at least once. */
	get hasLoaded(): boolean {
		return this.#hasLoaded;
	}

	get openJobs(): BatchJob[] {
		return [...this.#jobs.values()].filter(({isOpen}) => isOpen);
	}

	get all(): Iterable<BatchJob> {
		return this.#jobs.values();
	}

	/** Jobs whose objects are being removed. */
	get removals(): readonly RemovalRecord[] {
		return [...this.#removals.values()];
	}

	job(id: BatchJobId): BatchJob | undefined {
		return this.#jobs.get(id);
	}

	/** Tokens of an account's accepted items on a route that have no result yet, those of held jobs included. Jobs without an account share one limit. */
	waitingTokens(route: string, account?: ClientAccountName): number {
		return this.#ledger.of({route, account}) + sumOf(this.#ownedBy(this.#heldJobs.keys(), {route, account}).map(job => job.waitingTokens));
	}

	/** The part of {@link waitingTokens} that becomes free once the ends that were requested here are in the records. */
	endingTokens(route: string, account?: ClientAccountName): number {
		return sumOf(this.#ownedBy(this.#endRequested, {route, account}).map(job => job.endingTokens));
	}

	/** Calls the listener after records were applied, with the ids of the jobs that they affect. */
	onChange(listener: (jobs: ReadonlySet<BatchJobId>) => void): void {
		this.#events.on('change', listener);
	}

	/**
	Waits until a condition on a job holds.

	@param isMet - Evaluated at once and after each change of the job.
	@returns Whether the condition held within the time limit.
	*/
	async waitUntil(id: BatchJobId, isMet: () => boolean, limitMs: number): Promise<boolean> {
		if (isMet() || limitMs <= 0) {
			return isMet();
		}

		return new Promise(resolve => {
			const finish = (outcome: boolean) => {
				clearTimeout(timer);
				this.#events.off('change', onChange);
				resolve(outcome);
			};

			const onChange = (jobs: ReadonlySet<BatchJobId>) => {
				if (jobs.has(id) && isMet()) {
					finish(true);
				}
			};

			const timer = setTimeout(() => {
				finish(false);
			}, limitMs);
			this.#events.on('change', onChange);
		});
	}

	/** Adds a job that this process has accepted and that keepers hold until its record can be written. */
	addHeld(record: JobRecord): void {
		if (!this.#jobs.has(record.job)) {
			this.#heldJobs.set(record.job, record);
			this.#addHeldJob(record);
			this.#events.emit('change', new Set([record.job]));
		}
	}

	/** Tokens of the jobs that this process has accepted and that keepers still hold. */
	get heldTokens(): number {
		return [...this.#heldJobs.values()].reduce((sum, {items}) => sum + tokensOf(items), 0);
	}

	/** Stops a job at its caller's request, before the record of its end is written. Its tokens become free with that record only. */
	requestEnd(id: BatchJobId): void {
		this.#endRequested.add(id);
		this.#jobs.get(id)?.requestEnd();
		this.#events.emit('change', new Set([id]));
	}

	#applySnapshot(items: readonly StoredObject[]) {
		const previous = [...this.#jobs.keys()];
		this.#jobs.clear();
		this.#ledger.clear();
		this.#removals.clear();
		const affected = items.toSorted(byVersion).flatMap(({name, value, version}) => this.#apply(value, {name, revision: version}));
		// The snapshot does not contain held jobs.
		this.#heldJobs.forEach(record => {
			this.#addHeldJob(record);
		});
		this.#hasLoaded = true;
		this.#events.emit('change', new Set([...previous, ...affected]));
	}

	#applyChanges(events: readonly WatchEvent[]) {
		const affected = events.flatMap(event => event.type === 'put' ? this.#apply(event.value, {name: event.name, revision: event.version}) : this.#remove(event.name));
		this.#events.emit('change', new Set(affected));
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

		this.#removals.delete(id);
		this.#forget(id);
		const held = this.#heldJobs.get(id);
		if (held) {
			this.#addHeldJob(held);
		}

		return [id];
	}

	/** Of a job that waits, nothing is removed. If one seems to, pages were removed while this process listed the records, and later jobs were judged without them. */
	#forget(id: BatchJobId) {
		const job = this.#jobs.get(id);
		this.#drop(id);
		this.#endRequested.delete(id);
		if (job && !job.isHeld && job.waitingTokens > 0) {
			this.#events.emit('inconsistent');
		}
	}

	/** Held jobs are always admitted: they are accepted only with so much room left that the order of the records does not matter. */
	#addHeldJob(record: JobRecord) {
		const job = new BatchJob(record, heldRevision, {isAdmitted: true, isHeld: true});
		this.#put(job);
		if (this.#endedBeforeWritten.has(record.job)) {
			job.end();
		}

		this.#repeatRequestedEnd(job);
	}

	#put(job: BatchJob) {
		this.#drop(job.id);
		this.#jobs.set(job.id, job);
		this.#count(job, job.waitingTokens);
	}

	#drop(id: BatchJobId) {
		const job = this.#jobs.get(id);
		if (job) {
			this.#count(job, -job.waitingTokens);
			this.#jobs.delete(id);
		}
	}

	/** Applies a record of a job. Any of them shows that the job was admitted, whatever the records that are left say: those that decided on it may have been removed. */
	#change(id: BatchJobId, apply: (job: BatchJob) => void) {
		const job = this.#jobs.get(id);
		if (job) {
			const before = job.waitingTokens;
			apply(job);
			this.#count(job, job.waitingTokens - before);
		}
	}

	/** A held job is in no record. */
	#count({record, isHeld}: BatchJob, tokens: number) {
		if (!isHeld) {
			this.#ledger.add(record, tokens);
		}
	}

	#repeatRequestedEnd(job: BatchJob) {
		if (this.#endRequested.has(job.id)) {
			job.requestEnd();
		}
	}

	#ownedBy(ids: Iterable<BatchJobId>, {route, account}: TokenOwner): BatchJob[] {
		return [...ids].map(id => this.#jobs.get(id)).filter(job => job?.record.route === route && job.record.account === account) as BatchJob[];
	}

	/** The record of a held job's end may be in the object API before the job's own record. */
	#end(id: BatchJobId) {
		this.#change(id, job => {
			job.admit();
			job.end();
		});
		this.#endRequested.delete(id);
		if (this.#jobs.get(id)?.isHeld !== false) {
			this.#endedBeforeWritten.add(id);
		}
	}

	#addJob(record: JobRecord, revision: Revision) {
		const {maxWaitingTokens, isRoomy, items} = record;
		if (this.#jobs.get(record.job)?.revision === revision) {
			// Lists and watches overlap.
			return;
		}

		const isAdmitted = isRoomy || this.#ledger.of(record) + tokensOf(items) <= maxWaitingTokens;
		if (!isAdmitted && this.#heldJobs.has(record.job)) {
			// Another process found the job too large and is about to remove its record. A job that this process has accepted stays accepted, and keepers will write its record.
			return;
		}

		this.#heldJobs.delete(record.job);
		const job = new BatchJob(record, revision, {isAdmitted});
		this.#put(job);
		if (this.#endedBeforeWritten.delete(record.job)) {
			this.#end(record.job);
		}

		this.#repeatRequestedEnd(job);
	}
}

const sumOf = (numbers: readonly number[]): number => numbers.reduce((sum, number) => sum + number, 0);
