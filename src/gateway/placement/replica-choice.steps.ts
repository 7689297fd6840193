/**
Steps for the choice of replicas under load, in simulations with virtual time and fixed seeds.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {branded} from '../../common/ids.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {itemsToPreempt} from '../batch/preemption.js';
import {Replica} from '../replica.js';
import {simulateGreyFailure, type GreyFailure, type GreyFailureOutcome} from '../testing/grey-failure-model.js';
import {WaveModel, type AddedReplicasOutcome, type Wave} from '../testing/wave-model.js';
import type {
	GatewayServiceName, MemberName, ReplicaId, SoftwareVersion,
} from '../types.js';
import {RelativePaces} from './relative-paces.js';
import {
	chooseForBatch, chooseForOnline, type ChoiceContext,
} from './replica-choice.js';

type ChoiceWorld = TestWorld & {
	fleet: Pick<Wave, 'processes' | 'replicas' | 'slots'>;
	wave: Omit<Wave, 'random'>;
	share: number;
	addedOutcomes: readonly AddedReplicasOutcome[];
	lateWithoutLosses: number | undefined;
	replica: {readonly slots: number; readonly online: number};
	items: number[];
	fault: Omit<GreyFailure, 'random' | 'areOutcomesRecorded'>;
	equalReplicas: Replica[];
};

const seeds = [1, 2, 3];

const meanShare = (wave: Omit<Wave, 'random'>): number => seeds
	.map(seed => new WaveModel({...wave, random: new SeededRandom(seed)}).run())
	.reduce((sum, share) => sum + share, 0) / seeds.length;

Given('{int} processes and {int} replicas of {int} slots', function (this: ChoiceWorld, processes: number, replicas: number, slots: number) {
	this.fleet = {processes, replicas, slots};
});

Given('{int} calls a second, with announcements every {int} ms', function (this: ChoiceWorld, perSecond: number, announceEveryMs: number) {
	this.wave = {...this.fleet, perSecond, announceEveryMs};
});

Then('fewer than {int} % of the calls wait too long', function (this: ChoiceWorld, percent: number) {
	this.share = meanShare(this.wave);
	assert.ok(this.share < percent / 100, `${this.share}`);
});

Then('choosing among all replicas would make at least {float} times as many wait too long', function (this: ChoiceWorld, factor: number) {
	const all = meanShare({...this.wave, assumedProcessCount: 1});
	assert.ok(all >= factor * this.share, `${all} against ${this.share}`);
});

Given('half of the replicas lose {int} % of their answers', function (this: ChoiceWorld, percent: number) {
	this.wave = {...this.wave, lossShare: percent / 100};
});

/** Percentage points of late calls that are due to the losses. */
const lateShareDueToLosses = (world: ChoiceWorld, lossAccounting: Wave['lossAccounting']): number => {
	world.lateWithoutLosses ??= meanShare({...world.wave, lossShare: 0});
	return 100 * (meanShare({...world.wave, lossAccounting}) - world.lateWithoutLosses);
};

Then('at most {int} % more of the calls wait too long than if none was lost', function (this: ChoiceWorld, percent: number) {
	const more = lateShareDueToLosses(this, 'share');
	assert.ok(more <= percent, String(more));
});

Then('at least {float} % more would if losses were counted without the successful requests', function (this: ChoiceWorld, percent: number) {
	const more = lateShareDueToLosses(this, 'count');
	assert.ok(more >= percent, String(more));
});

Given('{int} of the replicas are added, empty, within a wave', function (this: ChoiceWorld, addedReplicas: number) {
	this.wave = {...this.wave, addedReplicas};
});

Then('in their first second each gets {float} to {float} times the calls that each of the others gets', function (this: ChoiceWorld, least: number, most: number) {
	this.addedOutcomes = seeds.map(seed => {
		const model = new WaveModel({...this.wave, random: new SeededRandom(seed)});
		model.run();
		return model.joined;
	});
	const meanRatio = this.addedOutcomes.reduce((sum, one) => sum + one.callRatio, 0) / seeds.length;
	assert.ok(meanRatio >= least && meanRatio <= most, String(meanRatio));
});

Then('none ever has more than {int} calls', function (this: ChoiceWorld, most: number) {
	const found = Math.max(...this.addedOutcomes.map(one => one.maxCalls));
	assert.ok(found <= most, String(found));
});

Given('the replicas have speeds of {string}, {word} slow spells', function (this: ChoiceWorld, speeds: string, spells: string) {
	this.wave = {
		...this.wave, pace: {
			speeds: speeds.split(', ').map(Number), hasSlowSpells: spells === 'with', isUsed: true, lostAnnouncements: 0,
		},
	};
});

Given('{int} % of the announcements of paces are lost', function (this: ChoiceWorld, percent: number) {
	this.wave = {...this.wave, pace: {...this.wave.pace!, lostAnnouncements: percent / 100}};
});

Then('at least {float} times as many calls would be late if paces were not used', function (this: ChoiceWorld, factor: number) {
	const late = meanShare(this.wave);
	const without = meanShare({...this.wave, pace: {...this.wave.pace!, isUsed: false}});
	assert.ok(without >= factor * late, `${without} against ${late}`);
});

/** Deviation of the paces of equal replicas by noise, and the number of events that they are known from. */
const noise = 0.1;
const knownEvents = 32;

Given('{int} equal replicas whose paces are known and differ by noise', function (this: ChoiceWorld, count: number) {
	this.equalReplicas = Array.from({length: count}, (_, i) => {
		const replica = new Replica({
			id: branded<ReplicaId>(`r${i}`), service: branded<GatewayServiceName>('engines'), address: '', failureDomain: i % 2 === 0 ? 'hall' : 'yard', softwareVersion: branded<SoftwareVersion>('v1'), slots: 8, isDraining: false,
		});
		replica.pace.observe(30 * (1 + (noise * ((i % 3) - 1))), knownEvents, 0);
		return replica;
	});
});

const checksumOf = (replicas: readonly Replica[], choose: (context: ChoiceContext) => Replica | undefined, choices: number): number => {
	const random = new SeededRandom(replicas.length);
	const paces = new RelativePaces({replicasOf: () => replicas, clock: {now: () => 0}});
	return Array.from({length: choices}).reduce<number>((sum, _, now) => {
		replicas.forEach(replica => {
			replica.online = Math.floor(random.next() * 12);
			replica.batch = Math.floor(random.next() * 4);
		});
		const chosen = choose({
			now, random, tried: new Set(), failureDomain: 'hall', processCount: 22, canFailOver: true, paces,
		});
		return ((sum * 31) + (chosen ? replicas.indexOf(chosen) : replicas.length)) % 1_000_003;
	}, 0);
};

Then('the choices for {int} calls have the checksum {int}', function (this: ChoiceWorld, calls: number, checksum: number) {
	const {equalReplicas} = this;
	assert.equal(checksumOf(equalReplicas, context => chooseForOnline(equalReplicas, context), calls), checksum);
});

Then('the choices for {int} items have the checksum {int}', function (this: ChoiceWorld, items: number, checksum: number) {
	const {equalReplicas} = this;
	assert.equal(checksumOf(equalReplicas, context => chooseForBatch(equalReplicas, 1, context), items), checksum);
});

Given('a replica of {int} slots with {int} calls', function (this: ChoiceWorld, slots: number, online: number) {
	this.replica = {slots, online};
});

Given('processes with {string} items there', function (this: ChoiceWorld, items: string) {
	this.items = items.split(', ').map(Number);
});

Then('they preempt {int} items together', function (this: ChoiceWorld, count: number) {
	const {replica: {slots, online}, items} = this;
	const members = items.map((_, i) => branded<MemberName>(`front-${i}`));
	const preempted = members.map((self, selfIndex) => {
		const replica = new Replica({
			id: branded<ReplicaId>('r1'), service: branded<GatewayServiceName>('engines'), address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots, isDraining: false,
		});
		replica.online = online;
		replica.batch = items[selfIndex]!;
		members.forEach((peer, i) => {
			if (i !== selfIndex) {
				replica.setPeerLoad(peer, {online: 0, batch: items[i]!});
			}
		});
		return itemsToPreempt(replica, self);
	});
	assert.equal(preempted.reduce((sum, one) => sum + one, 0), count);
});

Given('{int} replicas of {int} slots, of which one immediately fails {int} % of its calls', function (this: ChoiceWorld, replicas: number, slots: number, percent: number) {
	this.fault = {
		replicas, slots, failing: percent / 100, perSecond: 0,
	};
});

When('{int} calls a second come', function (this: ChoiceWorld, perSecond: number) {
	this.fault = {...this.fault, perSecond};
});

const meanOutcome = (fault: Omit<GreyFailure, 'random'>): GreyFailureOutcome => {
	const outcomes = seeds.map(seed => simulateGreyFailure({...fault, random: new SeededRandom(seed)}));
	const mean = (part: keyof GreyFailureOutcome) => outcomes.reduce((sum, outcome) => sum + outcome[part], 0) / seeds.length;
	return {failed: mean('failed'), shareAtEnd: mean('shareAtEnd')};
};

Then('fewer than {int} % of the calls fail, against {int} % without a record of failures', function (this: ChoiceWorld, share: number, without: number) {
	const recorded = meanOutcome({...this.fault, areOutcomesRecorded: true});
	assert.ok(recorded.failed < share / 100, String(recorded.failed));
	assert.ok(meanOutcome({...this.fault, areOutcomesRecorded: false}).failed > without / 100);
});

/** When the fault ends, in milliseconds: halfway through the simulation. */
const recoversAt = 15_000;

Then('the replica still gets some calls, and its share of them once it has recovered', function (this: ChoiceWorld) {
	const {replicas} = this.fault;
	assert.ok(meanOutcome({...this.fault, areOutcomesRecorded: true}).shareAtEnd > 0);
	const recovered = meanOutcome({...this.fault, areOutcomesRecorded: true, endsAt: recoversAt});
	assert.ok(recovered.shareAtEnd > 0.8 / replicas, String(recovered.shareAtEnd));
});
