/**
Steps for the index of jobs: several processes receive the records of one object API, each in its own portions, and some list them again or restart.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {branded, type Revision} from '../../common/ids.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import type {StoredObject, WatchEvent} from '../../common/types.js';
import type {ObjectFeed} from '../object-feed.js';
import type {BatchItemId, BatchJobId} from '../types.js';
import {recordNames, type BatchRecord, type JobRecord} from './batch-records.js';
import {JobIndex} from './job-index.js';

const route = 'notes';
const jobId = (name: string): BatchJobId => branded<BatchJobId>(name);
const itemId = (job: string, item: number): BatchItemId => branded<BatchItemId>(`${job}-${item}`);

/** Two items of half of the tokens each, so that a page can free a part. */
const itemsPerJob = 2;

const jobRecord = (job: string, tokens: number, limit: number, isRoomy = false): JobRecord => ({
	type: 'job', job: jobId(job), route, host: 'h', target: '/', submittedAt: 0, maxWaitingTokens: limit, isRoomy, items: Array.from({length: itemsPerJob}, (_, i) => ({id: itemId(job, i), tokens: tokens / itemsPerJob})), content: `items-${job}`,
});

/** The records of an object API with the history of their changes. */
class RecordLog {
	readonly events: WatchEvent[] = [];
	readonly #objects = new Map<string, StoredObject>();

	get objects(): StoredObject[] {
		return [...this.#objects.values()].toSorted((a, b) => (a.name < b.name ? -1 : 1));
	}

	has(name: string): boolean {
		return this.#objects.has(name);
	}

	get version(): Revision {
		return branded<Revision>(this.events.length);
	}

	put(name: string, value: BatchRecord): void {
		const version = branded<Revision>(this.events.length + 1);
		this.events.push({
			type: 'put', kind: 'BatchRecord', name, version, value,
		});
		this.#objects.set(name, {
			kind: 'BatchRecord', name, version, value,
		});
	}

	remove(name: string): void {
		if (this.#objects.delete(name)) {
			this.events.push({
				type: 'delete', kind: 'BatchRecord', name, version: branded<Revision>(this.events.length + 1),
			});
		}
	}
}

/** A process that receives the records when a step says so. */
class Follower {
	index!: JobIndex;
	readonly #records: RecordLog;
	#received = 0;
	readonly #listeners: {
		snapshot?: (items: readonly StoredObject[], version: Revision) => void;
		changes?: (events: readonly WatchEvent[]) => void;
	} = {};

	constructor(records: RecordLog) {
		this.#records = records;
		this.restart();
	}

	receive(count = Infinity): void {
		const events = this.#records.events.slice(this.#received, this.#received + count);
		this.#received += events.length;
		this.#listeners.changes?.(events);
	}

	list(): void {
		this.#received = this.#records.events.length;
		this.#listeners.snapshot?.(this.#records.objects, this.#records.version);
	}

	restart(): void {
		const feed: Pick<ObjectFeed, 'onSnapshot' | 'onChanges' | 'listAgain'> = {
			onSnapshot: listener => {
				this.#listeners.snapshot = listener;
			},
			onChanges: listener => {
				this.#listeners.changes = listener;
			},
			listAgain: () => {
				this.list();
			},
		};
		this.index = new JobIndex(feed as ObjectFeed);
		this.list();
	}
}

type IndexWorld = TestWorld & {
	records: RecordLog;
	followers: Follower[];
	limit: number;
};

Given('{int} processes that follow the records of a route with a limit of {int} tokens', function (this: IndexWorld, count: number, limit: number) {
	this.records = new RecordLog();
	this.limit = limit;
	this.followers = Array.from({length: count}, () => new Follower(this.records));
});

const receiveAll = ({followers}: IndexWorld) => {
	followers.forEach(follower => {
		follower.receive();
	});
};

When('job {string} of {int} tokens is written and received', function (this: IndexWorld, job: string, tokens: number) {
	this.records.put(recordNames.job(jobId(job)), jobRecord(job, tokens, this.limit));
	receiveAll(this);
});

When('the end of job {string} is written and received', function (this: IndexWorld, job: string) {
	this.records.put(recordNames.end(jobId(job)), {type: 'end', job: jobId(job)});
	receiveAll(this);
});

When('job {string} is asked to end at process {int}', function (this: IndexWorld, job: string, process: number) {
	this.followers[process - 1]!.index.requestEnd(jobId(job));
});

When('process {int} lists the records again', function (this: IndexWorld, process: number) {
	this.followers[process - 1]!.list();
});

Given('keepers hold job {string} of {int} tokens for process {int}', function (this: IndexWorld, job: string, tokens: number, process: number) {
	this.followers[process - 1]!.index.addHeld(jobRecord(job, tokens, this.limit, true));
});

const admissions = ({followers}: IndexWorld, job: string): boolean[] => followers.map(({index}) => index.job(jobId(job))?.isAdmitted === true);

Then('job {string} is admitted at each process', function (this: IndexWorld, job: string) {
	assert.ok(admissions(this, job).every(Boolean));
});

Then('job {string} is admitted at no process', function (this: IndexWorld, job: string) {
	assert.ok(!admissions(this, job).some(Boolean));
});

Then('job {string} is not open at process {int}', function (this: IndexWorld, job: string, process: number) {
	assert.equal(this.followers[process - 1]!.index.job(jobId(job))?.isOpen, false);
});

type Step = {readonly kind: string; readonly job: number; readonly process: number; readonly tokens: number; readonly count: number};

/** What the records alone say of a job, in their order. */
type Expected = {readonly tokens: number; isAdmitted: boolean; waiting: number; pages: number; isRemoved: boolean};

/** One random series, with what must follow from its records. */
class Series {
	readonly world: Pick<IndexWorld, 'records' | 'followers' | 'limit'>;
	readonly jobs: Expected[] = [];
	readonly #steps: Readonly<Record<string, (step: Step) => void>> = {
		submit: ({tokens, count}) => {
			this.#submit(tokens, count === 0);
		},
		hold: ({process, tokens}) => {
			this.#hold(process, tokens);
		},
		page: ({job}) => {
			this.#writePage(job);
		},
		end: ({job}) => {
			this.#writeEnd(job);
		},
		requestEnd: ({job, process}) => {
			this.world.followers[process]!.index.requestEnd(nameOf(job));
		},
		refuse: ({job}) => {
			this.#removeRefused(job);
		},
		beginRemoval: ({job}) => {
			this.#beginRemoval(job);
		},
		goOnRemoving: ({job}) => {
			this.#goOnRemoving(job);
		},
		receive: ({process, count}) => {
			this.world.followers[process]!.receive(count);
		},
		list: ({process}) => {
			this.world.followers[process]!.list();
		},
		restart: ({process}) => {
			this.world.followers[process]!.restart();
		},
	};

	constructor(limit: number, processes: number) {
		const records = new RecordLog();
		this.world = {records, limit, followers: Array.from({length: processes}, () => new Follower(records))};
	}

	play(steps: readonly Step[]): void {
		steps.forEach(step => {
			this.#steps[step.kind]!(step);
		});
		this.world.followers.forEach(follower => {
			follower.receive();
		});
	}

	#submit(tokens: number, isRoomy: boolean) {
		const waiting = this.jobs.reduce((sum, job) => sum + job.waiting, 0);
		const isAdmitted = isRoomy || waiting + tokens <= this.world.limit;
		this.world.records.put(recordNames.job(nameOf(this.jobs.length)), jobRecord(nameOf(this.jobs.length), tokens, this.world.limit, isRoomy));
		this.jobs.push({
			tokens, isAdmitted, waiting: isAdmitted ? tokens : 0, pages: 0, isRemoved: false,
		});
	}

	/** Keepers write the record of a held job later. */
	#hold(process: number, tokens: number) {
		this.world.followers[process]!.index.addHeld(jobRecord(nameOf(this.jobs.length), tokens, this.world.limit, true));
		this.#submit(tokens, true);
	}

	#writePage(number: number) {
		const job = this.jobs[number];
		if (job && job.waiting > 0 && job.pages < itemsPerJob) {
			this.world.records.put(recordNames.page(nameOf(number), job.pages), {
				type: 'page', job: nameOf(number), number: job.pages, results: [{id: itemId(nameOf(number), job.pages), state: 'completed'}], content: 'text',
			});
			job.pages += 1;
			job.waiting -= job.tokens / itemsPerJob;
		}
	}

	#writeEnd(number: number) {
		const job = this.jobs[number];
		if (job && job.waiting > 0) {
			this.world.records.put(recordNames.end(nameOf(number)), {type: 'end', job: nameOf(number)});
			job.waiting = 0;
		}
	}

	#removeRefused(number: number) {
		const job = this.jobs[number];
		if (job && !job.isAdmitted) {
			this.world.records.remove(recordNames.job(nameOf(number)));
			job.isRemoved = true;
		}
	}

	/** The pages are removed one by one, the job's own record last. */
	#goOnRemoving(number: number) {
		const job = this.jobs[number];
		if (job?.isAdmitted && job.isRemoved) {
			const next = Array.from({length: job.pages}, (_, page) => recordNames.page(nameOf(number), page)).find(name => this.world.records.has(name));
			this.world.records.remove(next ?? recordNames.job(nameOf(number)));
		}
	}

	#beginRemoval(number: number) {
		const job = this.jobs[number];
		const hasLeftover = this.jobs.some(({isAdmitted, isRemoved}, other) => other > number && !isAdmitted && !isRemoved);
		if (job?.isAdmitted && job.waiting === 0 && !job.isRemoved && !hasLeftover) {
			this.world.records.put(recordNames.job(nameOf(number)), {
				type: 'removal', job: nameOf(number), contents: [], records: [],
			});
			job.isRemoved = true;
		}
	}
}

const nameOf = (job: number): BatchJobId => jobId(`j${job}`);

const maxJob = 9;
const seriesLength = 60;

const stepOf = (kinds: readonly string[], processes: number) => fc.record({
	kind: fc.constantFrom(...kinds), job: fc.nat(maxJob), process: fc.nat(processes - 1), tokens: fc.constantFrom(20, 40, 60, 80), count: fc.nat(4),
});

const usualKinds = ['submit', 'submit', 'hold', 'page', 'page', 'end', 'requestEnd', 'refuse', 'receive', 'receive', 'list', 'restart'];
const removalKinds = ['beginRemoval', 'goOnRemoving'];

const checkSeries = ({limit, followers}: IndexWorld, {count, seed, kinds}: {count: number; seed: number; kinds: readonly string[]}, check: (series: Series) => void) => {
	fc.assert(fc.property(fc.array(stepOf(kinds, followers.length), {minLength: seriesLength, maxLength: seriesLength}), steps => {
		const series = new Series(limit, followers.length);
		series.play(steps);
		check(series);
	}), {seed, numRuns: count});
};

Then('each of {int} random series with seed {int} ends with the same jobs admitted at all processes', function (this: IndexWorld, count: number, seed: number) {
	checkSeries(this, {count, seed, kinds: usualKinds}, ({jobs, world: {followers}}) => {
		jobs.forEach(({isAdmitted, isRemoved}, number) => {
			const admitted = followers.map(({index}) => index.job(nameOf(number))?.isAdmitted);
			assert.deepEqual(admitted, followers.map(() => isRemoved ? undefined : isAdmitted));
		});
	});
});

Then('each of {int} random series with removals and seed {int} leaves each accepted job admitted at all processes', function (this: IndexWorld, count: number, seed: number) {
	checkSeries(this, {count, seed, kinds: [...usualKinds, ...removalKinds]}, ({jobs, world: {followers}}) => {
		jobs.forEach(({isAdmitted, isRemoved}, number) => {
			if (isAdmitted && !isRemoved) {
				assert.deepEqual(followers.map(({index}) => index.job(nameOf(number))?.isAdmitted), followers.map(() => true));
			}
		});
	});
});
