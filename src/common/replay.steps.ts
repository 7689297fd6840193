/**
Steps that replay recorded decisions.
*/
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Then, When} from '@cucumber/cucumber';
import type {DecisionRecord, LeaseRecord} from './decision-trace.js';
import {decideLease} from './lease.js';
import type {ReplicaView} from './replica-table.js';
import {chooseReplica, type RouteChoice, type RouteCriteria} from './route-policy.js';
import {
	criteriaFromRecord, recordedChoice, routeDigest, type RouteRecord,
} from './route-record.js';
import {ReplayedDraws} from './replayed-draws.js';
import type {TestWorld} from './testing/test-world.js';

type Replayed = {readonly record: RouteRecord; readonly question: RouteCriteria; readonly choice: RouteChoice | undefined; readonly drawsLeft: number};
type ReplayWorld = TestWorld & {routes: Replayed[]; leases: LeaseRecord[]; count: number};

// JSON can not hold infinities: the time is null for a replica without a report.
const revive = (key: string, value: unknown) => key === 'heardAt' && value === null ? Number.NEGATIVE_INFINITY : value;

const readTrace = <T extends DecisionRecord>(kind: T['kind']): T[] => readFileSync(new URL(`testing/traces/${kind}.jsonl`, import.meta.url), 'utf8')
	.trim()
	.split('\n')
	.map(line => JSON.parse(line, revive) as T);

const replay = (record: RouteRecord): Replayed => {
	const question = criteriaFromRecord(record);
	const draws = new ReplayedDraws(record.draws);
	const choice = chooseReplica(question, draws);
	return {
		record, question, choice, drawsLeft: draws.unusedDraws,
	};
};

// Repeats the rule of the code under test, so that a fault in that rule is detected.
const isUnsuitable = (replica: ReplicaView, {target, now, silentMs}: RouteRecord['view']) => replica.leaving
	|| replica.load?.draining !== false
	|| !replica.load.serves.includes(target)
	|| now - replica.heardAt > silentMs;

const chosenOf = (world: ReplayWorld) => world.routes.flatMap(({record, question, choice}) => choice ? [{record, question, choice}] : []);

// True when the decision takes the lease from another holder, or after a release.
const changesHolder = ({question, decision}: LeaseRecord) => decision.kind === 'update' && question.view.value?.holder !== question.self;

When('the recorded routing decisions are replayed', function (this: ReplayWorld) {
	this.routes = readTrace<RouteRecord>('route').map(record => replay(record));
	this.count = this.routes.length;
});

When('the recorded lease decisions are replayed', function (this: ReplayWorld) {
	this.leases = readTrace<LeaseRecord>('lease');
	this.count = this.leases.length;
});

Then('there are at least {int} of them', function (this: ReplayWorld, least: number) {
	assert.ok(this.count >= least, `${this.count} decisions`);
});

Then('each chooses the replica, the score and the runners-up of its record', function (this: ReplayWorld) {
	this.routes.forEach(({record, choice, drawsLeft}) => {
		assert.deepEqual(choice && recordedChoice(choice), record.choice, record.id);
		assert.equal(drawsLeft, 0, record.id);
	});
});

Then('each has the digest of its record', function (this: ReplayWorld) {
	chosenOf(this).forEach(({record, question}) => {
		assert.equal(routeDigest(question, record.draws), record.digest, record.id);
	});
});

Then('some were made while a replica was leaving, draining or unresponsive', function (this: ReplayWorld) {
	const shows: ReadonlyArray<(replica: ReplicaView, view: RouteRecord['view']) => boolean> = [
		({leaving}) => leaving,
		({load}) => load?.draining === true,
		({heardAt}, {now, silentMs}) => now - heardAt > silentMs,
	];
	shows.forEach(show => {
		assert.ok(this.routes.some(({record: {view}}) => view.replicas.some(replica => show(replica, view))));
	});
});

Then('none chooses a replica that is leaving, draining, unresponsive or does not serve the target', function (this: ReplayWorld) {
	chosenOf(this).forEach(({record, choice}) => {
		assert.ok(!isUnsuitable(choice.chosen, record.view), `${record.id} went to ${choice.chosen.vm}`);
	});
});

Then('none scores worse than a runner-up', function (this: ReplayWorld) {
	chosenOf(this).forEach(({record, choice}) => {
		choice.runnersUp.forEach(({score}) => {
			assert.ok(choice.score <= score, record.id);
		});
	});
});

Then('none retries a replica that was tried while there is another', function (this: ReplayWorld) {
	chosenOf(this).filter(({question, choice}) => question.tried.has(choice.chosen.vm)).forEach(({record, question}) => {
		assert.ok(question.replicas.every(({vm}) => question.tried.has(vm)), record.id);
	});
});

Then('each gives the decision of its record', function (this: ReplayWorld) {
	this.leases.forEach(({name, question, decision}) => {
		assert.deepEqual(decideLease(question), decision, name);
	});
});

Then('some lease changes its holder', function (this: ReplayWorld) {
	assert.ok(this.leases.some(record => changesHolder(record)));
});

Then('none takes a lease that another holder may still act under', function (this: ReplayWorld) {
	this.leases.filter(record => changesHolder(record)).forEach(({name, question: {view, now}}) => {
		const isReleased = view.value!.holder === '';
		assert.ok(isReleased || now - view.seenAt >= view.value!.ttlMs, name);
	});
});

Then('the fencing number grows by one when a lease changes its holder, and only then', function (this: ReplayWorld) {
	this.leases.forEach(record => {
		const {question, decision, name} = record;
		if (decision.kind === 'update') {
			assert.equal(decision.value.fence, question.view.value!.fence + (changesHolder(record) ? 1 : 0), name);
		}
	});
});
