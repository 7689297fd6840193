/**
Steps for the quarantine of prompt parts, with processes that exchange their announcements at once, and with a model of the load.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock} from '../../common/services.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {
	outagesAt, PartCrashModel, type PartLoad, type PartOutcome,
} from '../testing/part-crash-model.js';
import {registrationOf} from '../testing/registrations.js';
import type {MemberName} from '../types.js';
import {PartQuarantine, type PartAnnouncement, type PartTrial} from './part-quarantine.js';
import {partKeysOf, type PartKey} from './prompt-part-keys.js';

type PartsWorld = {
	now: number;
	crashed: number;
	fronts: Map<string, PartQuarantine>;
	announcements: PartAnnouncement[];
	load: Omit<PartLoad, 'random'>;
	outcomes: readonly PartOutcome[];
	trial: PartTrial;
};

const seeds = [1, 2, 3, 4, 5];

/** Longer than the time within which crashes count as one, in milliseconds. */
const betweenCrashesMs = 100;

const betweenVolleysMs = 400;

/** @param parts - Ids of parts, separated by spaces; the request's own part is added. */
const keysOf = (parts: string): readonly PartKey[] => partKeysOf([...parts.split(' '), 'own'].map(id => ({id, tokens: 1})));

const exchange = ({fronts}: PartsWorld, announcements: readonly PartAnnouncement[]) => {
	announcements.forEach(({partCrashes = [], clearedParts = [], withdrawnTrials = []}) => {
		fronts.forEach(front => {
			front.receiveCrashes(partCrashes);
			front.receiveCleared(clearedParts);
			front.receiveWithdrawn(withdrawnTrials);
		});
	});
};

const announce = (world: PartsWorld) => {
	const announcements = [...world.fronts.values()].map(front => front.announcement());
	world.announcements = [...world.announcements, ...announcements];
	exchange(world, announcements);
};

const start = (world: PartsWorld, name: string, rank: number) => {
	const clock: Clock = {now: () => world.now, wall: () => world.now, sleep: async () => undefined};
	world.fronts.set(name, new PartQuarantine({
		self: branded<MemberName>(name), clock, log: {emit: () => undefined}, trialRank: () => rank,
	}));
};

const crash = (world: PartsWorld, front: string, requests: readonly string[]) => {
	if (!world.fronts) {
		Object.assign(world, {
			now: 1000, crashed: 0, fronts: new Map(), announcements: [],
		});
		start(world, 'front-1', 0);
		start(world, 'front-2', 1);
	}

	world.crashed += 1;
	requests.forEach(parts => {
		world.fronts.get(front)!.noteCrash(keysOf(parts), registrationOf(`r${world.crashed}`));
	});
	announce(world);
};

const crashAnother = (world: PartsWorld, front: string, requests: readonly string[]) => {
	world.now += betweenCrashesMs;
	crash(world, front, requests);
};

const heldMsOf = ({fronts}: PartsWorld, parts: string): number[] => [...fronts.values()].map(front => front.heldMs(keysOf(parts)));

const assertHeld = (world: PartsWorld, parts: string) => {
	assert.ok(heldMsOf(world, parts).every(ms => ms > 0), heldMsOf(world, parts).join(' '));
};

Given('a replica crashes during requests with the parts {string} of {string}', function (this: PartsWorld, parts: string, front: string) {
	crash(this, front, [parts]);
});

When('another replica crashes during requests with the parts {string} of {string}', function (this: PartsWorld, parts: string, front: string) {
	crashAnother(this, front, [parts]);
});

When('another replica crashes during requests with the parts {string} and {string} of {string}', function (this: PartsWorld, parts: string, others: string, front: string) {
	crashAnother(this, front, [parts, others]);
});

Given('{int} replicas crash at the same moment during requests with the parts {string} of {string}', function (this: PartsWorld, count: number, parts: string, front: string) {
	Array.from({length: count}).forEach(() => {
		crash(this, front, [parts]);
	});
});

When('a request with the parts {string} is answered for a while at {string}', function (this: PartsWorld, parts: string, front: string) {
	this.fronts.get(front)!.noteSound(keysOf(parts));
	announce(this);
});

When('all announcements are repeated', function (this: PartsWorld) {
	exchange(this, this.announcements);
});

When('the time moves on by {int} ms', function (this: PartsWorld, ms: number) {
	this.now += ms;
});

When('{string} joins', function (this: PartsWorld, name: string) {
	start(this, name, this.fronts.size);
	this.fronts.forEach(front => {
		front.reannounce();
	});
	announce(this);
});

When('a request with the parts {string} is sent as a test at {string}', function (this: PartsWorld, parts: string, front: string) {
	this.trial = this.fronts.get(front)!.startTrial(keysOf(parts));
	announce(this);
});

When('the test at {string} ends without a verdict', function (this: PartsWorld, front: string) {
	this.fronts.get(front)!.withdrawTrial(this.trial);
	announce(this);
});

When('{string} terminates', function (this: PartsWorld, name: string) {
	this.fronts.delete(name);
	this.fronts.forEach(front => {
		front.withdrawTrialsOf(branded<MemberName>(name));
	});
});

When('6 volleys of 5 replicas end, 400 ms apart, of which 3 had requests with the part {string} of {string}', function (this: PartsWorld, part: string, front: string) {
	crash(this, front, []);
	Array.from({length: 6}).forEach(() => {
		this.now += betweenVolleysMs;
		[[part], [part], [part], [], []].forEach(parts => {
			this.crashed += 1;
			this.fronts.get(front)!.noteCrash(parts.flatMap(one => keysOf(one)), registrationOf(`r${this.crashed}`));
		});
		announce(this);
	});
});

Then('requests with the parts {string} may be sent at both fronts', function (this: PartsWorld, parts: string) {
	assert.deepEqual(heldMsOf(this, parts), [0, 0]);
});

Then('requests with the parts {string} are held back at both/all fronts', function (this: PartsWorld, parts: string) {
	assertHeld(this, parts);
});

Then('requests with the parts {string} are held back for {int} seconds at both fronts', function (this: PartsWorld, parts: string, seconds: number) {
	assert.deepEqual(heldMsOf(this, parts), [1000 * seconds, 1000 * seconds]);
});

const testers = ({fronts}: PartsWorld, parts: string): string[] => [...fronts].filter(([, front]) => front.isTrialDue(keysOf(parts))).map(([name]) => name);

Then('a request with the parts {string} would be sent as a test at {string} only', function (this: PartsWorld, parts: string, front: string) {
	assert.deepEqual(testers(this, parts), [front]);
});

Then('a request with the parts {string} would be sent as a test at {string}', function (this: PartsWorld, parts: string, front: string) {
	assert.ok(testers(this, parts).includes(front));
});

Then('a request with the parts {string} would be sent as a test at no front', function (this: PartsWorld, parts: string) {
	assert.deepEqual(testers(this, parts), []);
	assertHeld(this, parts);
});

Given('{int} crashing parts at {int} requests a second each, among the calls of {int} fronts', function (this: PartsWorld, crashingParts: number, crashingPerSecond: number, fronts: number) {
	this.load = {fronts, crashingParts, crashingPerSecond};
});

Given('half of the replicas end five times, among the calls of {int} fronts', function (this: PartsWorld, fronts: number) {
	this.load = {
		fronts, crashingParts: 0, crashingPerSecond: 0, outagesAt,
	};
});

When('prompt parts are held back', function (this: PartsWorld) {
	this.outcomes = seeds.map(seed => new PartCrashModel({...this.load, random: new SeededRandom(seed)}).simulate());
});

Then('on average at most {int} replicas end for each part', function (this: PartsWorld, most: number) {
	const ended = this.outcomes.reduce((sum, outcome) => sum + outcome.ended, 0);
	assert.ok(ended <= most * this.load.crashingParts * seeds.length, String(ended));
});

Then('at most {int} requests are sent later than 3 seconds after the fifth crash', function (this: PartsWorld, most: number) {
	assert.ok(this.outcomes.every(({sentLate}) => sentLate <= most));
});

Then('at most {int} in a hundred sound requests is held back', function (this: PartsWorld, share: number) {
	assert.ok(this.outcomes.every(({sound, soundHeld}) => 100 * soundHeld <= share * sound), JSON.stringify(this.outcomes));
});
