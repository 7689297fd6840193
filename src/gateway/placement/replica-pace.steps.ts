/**
Steps for the pace of replicas, on tables in memory and a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {ReplicaDirectory} from '../replica-directory.js';
import type {GatewayServiceName, ReplicaId, SoftwareVersion} from '../types.js';
import {PaceAnnouncements} from './pace-announcements.js';
import {RelativePaces} from './relative-paces.js';
import type {ReplicaPace} from './replica-pace.js';
import type {SharedPace} from './shared-pace.js';
import {StreamPace} from './stream-pace.js';

type PaceWorld = TestWorld & {
	now: number;
	clock: Clock;
	directory: ReplicaDirectory;
	exchange: PaceAnnouncements;
	stream: StreamPace | undefined;
	announced: readonly SharedPace[];
};

const service = branded<GatewayServiceName>('engines');
const firstStart = 1000;
const secondStart = 2000;

/** Events after which a pace is certain. */
const settlingEvents = 40;

const namesIn = (names: string): string[] => names.split(', ').filter(name => name !== '');

const putReplica = (directory: ReplicaDirectory, id: string, startedAt = firstStart) => {
	directory.put({
		id: branded<ReplicaId>(id), service, address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots: 8, isDraining: false, startedAt,
	});
};

const paceOf = ({directory}: PaceWorld, id: string): ReplicaPace => directory.get(branded<ReplicaId>(id))!.pace;

/** Lets all the replicas bring events at the same time. */
const bringEvents = (world: PaceWorld, ids: readonly string[], ms: number, count: number) => {
	Array.from({length: count}).forEach(() => {
		world.now += ms;
		ids.forEach(id => {
			paceOf(world, id).observe(ms, 1, world.now);
		});
	});
};

const factorOf = ({directory, clock}: Pick<PaceWorld, 'directory' | 'clock'>, id: string): number => new RelativePaces({replicasOf: name => directory.takingWork(name), clock}).factorOf(directory.get(branded<ReplicaId>(id))!);

const receive = ({exchange}: PaceWorld, id: string, startedAt: number, figure: Pick<SharedPace, 'msPerEvent' | 'events'>) => {
	exchange.receive({paces: [{replica: branded<ReplicaId>(id), startedAt, ...figure}]});
};

Given('replicas {string} whose streams bring an event every {int} ms', function (this: PaceWorld, ids: string, ms: number) {
	this.now = 0;
	this.stream = undefined;
	this.clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined};
	this.directory = new ReplicaDirectory();
	this.exchange = new PaceAnnouncements({directory: this.directory, clock: this.clock});
	namesIn(ids).forEach(id => {
		putReplica(this.directory, id);
	});
	bringEvents(this, namesIn(ids), ms, settlingEvents);
});

Given('another replica {string}', function (this: PaceWorld, id: string) {
	putReplica(this.directory, id);
});

Given('{int} other replicas whose streams bring an event every {int} ms', function (this: PaceWorld, count: number, ms: number) {
	const ids = Array.from({length: count}, (_, i) => `r${i}`);
	ids.forEach(id => {
		putReplica(this.directory, id);
	});
	bringEvents(this, ids, ms, settlingEvents);
});

When('{string} take(s) {int} ms for each of {int} events', function (this: PaceWorld, ids: string, ms: number, count: number) {
	bringEvents(this, namesIn(ids), ms, count);
});

When('{int} s go(es) by', function (this: PaceWorld, seconds: number) {
	this.now += seconds * 1000;
});

When('{string} starts again', function (this: PaceWorld, id: string) {
	putReplica(this.directory, id, secondStart);
});

When('a peer announces {float} ms and {float} events of {string}', function (this: PaceWorld, msPerEvent: number, events: number, id: string) {
	receive(this, id, firstStart, {msPerEvent, events});
});

When('a peer announces {float} ms and {float} events of {string}, of its first start', function (this: PaceWorld, msPerEvent: number, events: number, id: string) {
	receive(this, id, firstStart, {msPerEvent, events});
});

Then('{string} count(s) as usual', function (this: PaceWorld, ids: string) {
	assert.deepEqual(namesIn(ids).map(id => factorOf(this, id)), namesIn(ids).map(() => 1));
});

Then('{string} counts as slow', function (this: PaceWorld, id: string) {
	assert.ok(factorOf(this, id) > 1.4, String(factorOf(this, id)));
});

Then('{string} takes {float} to {float} times as long as usual', function (this: PaceWorld, id: string, least: number, most: number) {
	const factor = factorOf(this, id);
	assert.ok(factor >= least && factor <= most, String(factor));
});

const announcedBy = ({exchange}: PaceWorld): readonly SharedPace[] => exchange.section().paces ?? [];

Then('the announcement names {string}', function (this: PaceWorld, ids: string) {
	this.announced = announcedBy(this);
	assert.deepEqual(this.announced.map(({replica}) => replica).toSorted((a, b) => a.localeCompare(b)), namesIn(ids));
});

Then('the announcement does not name {string}', function (this: PaceWorld, id: string) {
	assert.ok(!announcedBy(this).some(({replica}) => replica === id));
});

Then('the announcement names {int} replicas', function (this: PaceWorld, count: number) {
	assert.equal(announcedBy(this).length, count);
});

Then('a peer that receives it counts {string} as slow', function (this: PaceWorld, id: string) {
	const directory = new ReplicaDirectory();
	[...this.directory.all].forEach(({record}) => {
		directory.put(record);
	});
	new PaceAnnouncements({directory, clock: this.clock}).receive({paces: this.announced});
	assert.ok(factorOf({directory, clock: this.clock}, id) > 1.4);
});

/** An event, its first and its second part, and an event with other line ends. */
const pieces: Readonly<Record<string, string>> = {
	d: 'id: 1\ndata: x\n\n', p: 'id: 1\nda', e: 'ta: x\n\n', r: 'id: 1\r\ndata: x\r\n\r\n',
};

When('a/the stream brings {string}, {int} ms apart', function (this: PaceWorld, chunks: string, apartMs: number) {
	if (!this.stream) {
		putReplica(this.directory, 'streaming');
		this.stream = new StreamPace(paceOf(this, 'streaming'), this.clock);
	}

	namesIn(chunks).forEach(chunk => {
		this.now += apartMs;
		this.stream?.noteChunk(Buffer.from([...chunk].map(piece => pieces[piece]).join('')));
	});
});

When('its caller does not read for {int} seconds', function (this: PaceWorld, seconds: number) {
	this.stream?.notePause();
	this.now += seconds * 1000;
});

Then('its replica takes {int} ms for an event', function (this: PaceWorld, ms: number) {
	assert.equal(Math.round(paceOf(this, 'streaming').msPerEvent(this.now) ?? 0), ms);
});
