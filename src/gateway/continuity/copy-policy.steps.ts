/**
Steps for the choice of the runs that are copied, and of the replicas that keep the copies.
*/
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {Replica} from '../replica.js';
import {registrationOf} from '../testing/registrations.js';
import type {EngineTraits, RouteKind, SoftwareVersion} from '../types.js';
import {chooseHolder, isCopied} from './copy-policy.js';

type CopyWorld = TestWorld & {
	engine: EngineTraits;
	runsAt: Replica;
	other: Replica;
	copies: ReadonlyMap<Replica, number>;
};

const replicaOf = (id: string, {domain = 'a', version = 'v1', calls = 0} = {}): Replica => {
	const replica = new Replica({...registrationOf(id), failureDomain: domain, softwareVersion: branded<SoftwareVersion>(version)});
	replica.online = calls;
	return replica;
};

Given('an engine that {word} copies, with memory for {int} tokens of {int} bytes', function (this: CopyWorld, verb: string, memoryTokens: number, bytesPerToken: number) {
	this.engine = {
		slots: 8, memoryTokens, bytesPerToken, tokensPerEvent: 8, canMoveRuns: true, canBackUpRuns: verb === 'keeps', copiesKeptMs: 5000,
	};
});

Then('a run of {word} tokens on a {word} route is {word}', function (this: CopyWorld, tokens: string, kind: string, done: string) {
	const isResumable = kind === 'resumable';
	const route = {kind: (isResumable ? 'stream' : kind) as RouteKind, isResumable};
	const size = tokens === 'unknown' ? undefined : {promptTokens: Number(tokens), maxOutputTokens: 0};
	assert.equal(isCopied(route, this.engine, size), done === 'copied');
});

Given('a run at a replica of "v1" in "a", and another one of {string} in {string} with {int} calls of 8 slots', function (this: CopyWorld, version: string, domain: string, calls: number) {
	this.runsAt = replicaOf('r1');
	this.other = replicaOf('r2', {version, domain, calls});
});

Then('the other one {word} its copy', function (this: CopyWorld, verb: string) {
	const holder = chooseHolder([this.runsAt, this.other], {runsAt: this.runsAt, now: 0, random: new SeededRandom(1)});
	assert.equal(holder, verb === 'keeps' ? this.other : undefined);
});

Given('{int} runs at {int} replicas of one failure domain', function (this: CopyWorld, runs: number, count: number) {
	const random = new SeededRandom(1);
	const replicas = Array.from({length: count}, (_, i) => replicaOf(`r${i}`));
	const holders = Array.from({length: runs}, (_, i) => chooseHolder(replicas, {runsAt: replicas[i % count]!, now: 0, random})!);
	this.copies = new Map(replicas.map(replica => [replica, holders.filter(holder => holder === replica).length]));
});

Then('no replica keeps more than {int} of their copies', function (this: CopyWorld, most: number) {
	assert.ok(Math.max(...this.copies.values()) <= most, [...this.copies.values()].join(', '));
});
