/**
Steps for the replicas that calls can be expected to be served by.
*/
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {Replica} from '../replica.js';
import {registrationOf} from '../testing/registrations.js';
import {usableReplicas} from './usable-replicas.js';

type UsableWorld = TestWorld & {replicas: Replica[]};

const now = 1000;

const replicasOf = (count: number): Replica[] => Array.from({length: count}, (_, i) => new Replica(registrationOf(`r${i}`)));

const noteOutcomes = ({outcomes}: Replica, failures: number, requests: number) => {
	Array.from({length: requests}).forEach((_, i) => {
		outcomes.note(i < failures, now);
	});
};

const given = (world: UsableWorld, busy: number, others: number, put: (replica: Replica) => void) => {
	const busyReplicas = replicasOf(busy);
	busyReplicas.forEach(replica => {
		replica.online = replica.record.slots;
	});
	const otherReplicas = replicasOf(others);
	otherReplicas.forEach(replica => {
		put(replica);
	});
	world.replicas = [...busyReplicas, ...otherReplicas];
};

Given('{int} replicas with 8 calls each, and {int} with none that cannot be reached', function (this: UsableWorld, busy: number, others: number) {
	given(this, busy, others, replica => {
		replica.noteUnreachable();
	});
});

Given('{int} replicas with 8 calls each, and {int} with none that have had no request', function (this: UsableWorld, busy: number, others: number) {
	given(this, busy, others, () => undefined);
});

Given('{int} replicas with 8 calls each, and {int} with none that fail all of {int} requests', function (this: UsableWorld, busy: number, others: number, requests: number) {
	given(this, busy, others, replica => {
		noteOutcomes(replica, requests, requests);
	});
});

Given('{int} replicas with 8 calls each, and {int} with none that fail {int} of {int} requests', function (this: UsableWorld, busy: number, others: number, failures: number, requests: number) {
	given(this, busy, others, replica => {
		noteOutcomes(replica, failures, requests);
	});
});

Then('{int} replicas are usable', function (this: UsableWorld, count: number) {
	assert.equal(usableReplicas(this.replicas, now).length, count);
});
