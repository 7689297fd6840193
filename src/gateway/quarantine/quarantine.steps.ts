/**
Steps for the quarantine, with a clock that the steps set, and with a model of the load.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock, EventLog} from '../../common/services.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {
	CrashModel, type Blame, type PoisonLoad, type PoisonOutcome,
} from '../testing/crash-model.js';
import {registrationOf} from '../testing/registrations.js';
import type {ReplicaRecord} from '../types.js';
import type {ContentDigest} from './content-digest.js';
import {startOf} from './crash-history.js';
import {crashThreshold, Quarantine} from './quarantine.js';

type QuarantineWorld = {
	now: number;
	quarantine: Quarantine;
	/** When an announcement was last due at once. */
	announcementDueAt: number;
	/** Replicas that have ended so far. */
	ended: number;
	poison: number;
	perSecond: number;
	/** Half of the replicas end at once at the given times, and some calls have the same content. */
	popular: Pick<PoisonLoad, 'popularShare' | 'outagesAt'>;
	outcomes: PoisonOutcome[];
};

const log: EventLog = {emit: () => undefined};
const content = 'c0ffee' as ContentDigest;
const seeds = [1, 2, 3, 4, 5];

const replicaOf = (number: number, startedAt?: number): ReplicaRecord => ({...registrationOf(`r${number}`), startedAt});

const crashOf = (number: number) => ({content, start: startOf(replicaOf(number))});

const simulate = ({poison, perSecond, popular}: QuarantineWorld, threshold: number, blame?: Blame): PoisonOutcome[] => seeds.map(seed => new CrashModel({
	poison, perSecond, crashThreshold: threshold, random: new SeededRandom(seed), blame, ...popular,
}).simulate());

const meanOf = (outcomes: readonly PoisonOutcome[], value: (outcome: PoisonOutcome) => number): number => outcomes.reduce((sum, outcome) => sum + value(outcome), 0) / outcomes.length;

const crashAnother = (world: QuarantineWorld) => {
	world.ended += 1;
	world.quarantine.noteCrash(content, replicaOf(world.ended));
};

Given('a request during which {int} replica(s) has/have crashed', function (this: QuarantineWorld, count: number) {
	this.now = 1000;
	this.ended = 0;
	const clock: Clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined};
	this.quarantine = new Quarantine({clock, log});
	this.quarantine.onAnnouncementDue(() => {
		this.announcementDueAt = this.now;
	});
	Array.from({length: count}).forEach(() => {
		crashAnother(this);
	});
});

When('another replica crashes during it', function (this: QuarantineWorld) {
	crashAnother(this);
});

When('another start of one of these replicas crashes during it', function (this: QuarantineWorld) {
	this.quarantine.noteCrash(content, replicaOf(1, 2));
});

When('a peer announces {int} other replicas that crashed during it', function (this: QuarantineWorld, count: number) {
	this.quarantine.receiveCrashes(Array.from({length: count}, (_, i) => crashOf(100 + i)));
});

When('a peer announces the same replicas', function (this: QuarantineWorld) {
	this.quarantine.receiveCrashes(Array.from({length: this.ended}, (_, i) => crashOf(i + 1)));
});

When('a peer announces that it has completed', function (this: QuarantineWorld) {
	this.quarantine.receiveCleared([content]);
});

When('a replica completes it', function (this: QuarantineWorld) {
	this.quarantine.noteSuccess(content);
});

When('a peer joins', function (this: QuarantineWorld) {
	this.quarantine.reannounce();
});

When('the clock moves on by {int} seconds', function (this: QuarantineWorld, seconds: number) {
	this.now += seconds * 1000;
});

Then('it may be sent', function (this: QuarantineWorld) {
	assert.equal(this.quarantine.heldMs(content), 0);
});

Then('it is held back for {int} seconds', function (this: QuarantineWorld, seconds: number) {
	assert.equal(this.quarantine.heldMs(content), seconds * 1000);
});

Then('peers are sent {int} crashes', function (this: QuarantineWorld, count: number) {
	assert.equal(this.quarantine.announcement().crashes.length, count);
});

Then('peers are sent {int} crashes at once', function (this: QuarantineWorld, count: number) {
	assert.equal(this.announcementDueAt, this.now);
	assert.equal(this.quarantine.announcement().crashes.length, count);
});

Then('peers are sent its clearance and the last crash', function (this: QuarantineWorld) {
	const {crashes, acquitted} = this.quarantine.announcement();
	assert.deepEqual(acquitted, [content]);
	assert.deepEqual(crashes, [crashOf(this.ended)]);
});

Given('{int} request(s) that crash(es) replicas among {int} calls a second', function (this: QuarantineWorld, poison: number, perSecond: number) {
	this.poison = poison;
	this.perSecond = perSecond;
});

When('no request is held back', function (this: QuarantineWorld) {
	this.outcomes = simulate(this, Infinity);
});

When('requests are held back', function (this: QuarantineWorld) {
	this.outcomes = simulate(this, crashThreshold);
});

Given('half of the replicas end at once five times, and a tenth of the calls has the same content', function (this: QuarantineWorld) {
	this.popular = {popularShare: 0.1, outagesAt: [3000, 6500, 10_000, 13_500, 17_000]};
});

When('requests are held back by their shares of the crashes', function (this: QuarantineWorld) {
	this.outcomes = simulate(this, crashThreshold, 'shared');
});

Then('at most {int} in a hundred calls for it are rejected', function (this: QuarantineWorld, share: number) {
	const refused = meanOf(this.outcomes, outcome => outcome.popularHeld);
	assert.ok(100 * refused <= share * meanOf(this.outcomes, outcome => outcome.popular), String(refused));
});

Then('more than {int} replicas end, and more than {int} callers lose their answer', function (this: QuarantineWorld, ended: number, lost: number) {
	assert.ok(meanOf(this.outcomes, outcome => outcome.ended) > ended);
	assert.ok(meanOf(this.outcomes, outcome => outcome.lost) > lost);
});

Then('at most {int} replicas end, and at most {int} callers lose their answer', function (this: QuarantineWorld, ended: number, lost: number) {
	assert.ok(meanOf(this.outcomes, outcome => outcome.ended) <= ended);
	assert.ok(meanOf(this.outcomes, outcome => outcome.lost) <= lost);
});

Then('at most {int} replicas end, and at most {int} calls are held back wrongly', function (this: QuarantineWorld, ended: number, held: number) {
	assert.ok(meanOf(this.outcomes, outcome => outcome.ended) <= ended);
	assert.ok(meanOf(this.outcomes, outcome => outcome.heldWrongly) <= held);
});
