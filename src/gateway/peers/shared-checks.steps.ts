/**
Steps for shared checks, on an object API in memory whose watches can stall.
*/
import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {EventLog} from '../../common/services.js';
import {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SystemClock} from '../../io/system-clock.js';
import {ObjectFeed} from '../object-feed.js';
import {ReadProgress} from '../read-progress.js';
import type {MemberName} from '../types.js';
import type {PeerState} from './peer-state.js';
import type {Peer} from './peer-table.js';
import {SharedChecks} from './shared-checks.js';

type Process = {
	readonly name: MemberName;
	readonly feed: ObjectFeed;
	readonly checks: SharedChecks;
	readonly received: EventEmitter;
	isStalled: boolean;
	hasEnded: boolean;
	hasDetectedOutage: boolean;
};

type ChecksWorld = TestWorld & {
	api: FakeObjectApi;
	processes: Process[];
	readsBefore: number;
	readsAfter: number;
};

/** Longer than any scenario, in milliseconds. */
const watchMs = 20_000;

/** Delay of a message between processes, in milliseconds. */
const messageDelayMs = 3;

/** Interval at which each process announces its state without a poll, in milliseconds. */
const announcementIntervalMs = 60;

const neverEndingWatch = once(new EventEmitter(), 'never') as Promise<never>;

const clock = new SystemClock();
const log: EventLog = {emit: () => undefined};

const running = ({processes}: ChecksWorld): Process[] => processes.filter(({hasEnded}) => !hasEnded);

const announceState = (world: ChecksWorld, from: Process) => {
	const checks = from.checks.announcement();
	if (from.hasEnded || !checks) {
		return;
	}

	setTimeout(() => {
		running(world).filter(process => process !== from).forEach(({received}) => {
			received.emit('state', {checks});
		});
	}, messageDelayMs);
};

/** The watches of a stalled process never end; its other calls are answered. */
const apiOf = (world: ChecksWorld, isStalled: () => boolean): FakeObjectApi => new Proxy(world.api, {
	get(api, name: keyof FakeObjectApi) {
		if (name !== 'watch') {
			return typeof api[name] === 'function' ? (api[name] as () => unknown).bind(api) : api[name];
		}

		return async (...[kinds, since, waitMs]: Parameters<FakeObjectApi['watch']>) => isStalled() && waitMs > 0
			? neverEndingWatch
			: api.watch(kinds, since, waitMs);
	},
});

const startProcess = (world: ChecksWorld, index: number, intervalMs: number): Process => {
	const name = branded<MemberName>(`front-${index}`);
	const received = new EventEmitter();
	const feed = new ObjectFeed({api: apiOf(world, () => process.isStalled), clock, log}, 'GatewayConfig', {waitMs: watchMs, mayLag: false});
	const checks = new SharedChecks({
		self: name,
		clock,
		progress: world.register(new ReadProgress(clock)),
		feeds: [{kind: 'GatewayConfig', feed, intervalMs}],
		peers: {
			get live() {
				return running(world).filter(other => other.name !== name).map(other => ({state: {member: other.name, reachesObjectApi: true, isLeaving: false}})) as unknown as Peer[];
			},
			onState(listener) {
				received.on('state', listener);
			},
		},
		announce() {
			announceState(world, process);
		},
	});
	const process: Process = {
		name, feed, checks, received, isStalled: false, hasEnded: false, hasDetectedOutage: false,
	};
	const announcing = setInterval(() => {
		announceState(world, process);
		process.hasDetectedOutage ||= feed.isUnreachable;
	}, announcementIntervalMs);
	world.register({
		dispose() {
			clearInterval(announcing);
			feed.dispose();
			checks.dispose();
		},
	});
	feed.start();
	checks.start();
	return process;
};

const sleep = async (ms: number) => clock.sleep(ms);

const stallWatches = async (world: ChecksWorld, processes: readonly Process[]) => {
	processes.forEach(process => {
		process.isStalled = true;
	});
	// The watches that are open end with a change, and the stalled ones follow.
	await world.api.create('GatewayConfig', 'before', {});
	await sleep(150);
};

Given('{int} processes that check each other\'s state every {int} ms', async function (this: ChecksWorld, count: number, intervalMs: number) {
	this.api = new FakeObjectApi();
	await this.api.create('GatewayConfig', 'first', {});
	this.processes = [];
	this.processes.push(...Array.from({length: count}, (_, i) => startProcess(this, i, intervalMs)));
	await sleep(100);
});

When('nothing changes for {int} ms', async function (this: ChecksWorld, ms: number) {
	this.readsBefore = this.api.calls.watch;
	await sleep(ms);
	this.readsAfter = this.api.calls.watch;
});

Then('the object API was read between {int} and {int} times meanwhile', function (this: ChecksWorld, least: number, most: number) {
	const reads = this.readsAfter - this.readsBefore;
	assert.ok(reads >= least && reads <= most, String(reads));
});

Given('the watches of all processes but the last one are stalled', async function (this: ChecksWorld) {
	await stallWatches(this, this.processes.slice(0, -1));
});

Given('the watches of all processes are stalled', async function (this: ChecksWorld) {
	await stallWatches(this, this.processes);
});

Given('the first process has ended', function (this: ChecksWorld) {
	const [first] = this.processes;
	first!.hasEnded = true;
	first!.feed.dispose();
	first!.checks.dispose();
});

When('a configuration is written', async function (this: ChecksWorld) {
	await this.api.create('GatewayConfig', 'main', {version: 2});
});

Then('every process has received it within {int} ms', async function (this: ChecksWorld, ms: number) {
	await sleep(ms);
	const written = this.api.all('GatewayConfig').find(({name}) => name === 'main');
	assert.deepEqual(running(this).filter(({feed}) => (feed.revision ?? 0) < written!.version).map(({name}) => name), []);
});

When('the object API is down for {int} ms', async function (this: ChecksWorld, ms: number) {
	this.api.down = true;
	await sleep(ms);
	this.api.down = false;
});

Then('every process has detected the outage, and its end within {int} ms', async function (this: ChecksWorld, ms: number) {
	await sleep(ms);
	assert.deepEqual(running(this).filter(({hasDetectedOutage}) => !hasDetectedOutage).map(({name}) => name), []);
	assert.deepEqual(running(this).filter(({feed}) => feed.isUnreachable).map(({name}) => name), []);
});
