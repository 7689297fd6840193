/**
Steps for claims, on tables in memory and a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import type {Clock, EventLog} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {LoadBoard} from '../load-board.js';
import {PeerTable} from '../peers/peer-table.js';
import {Quarantine} from '../quarantine/quarantine.js';
import {testPartQuarantine} from '../testing/part-quarantines.js';
import {ReplicaDirectory} from '../replica-directory.js';
import type {BatchJobId, MemberName} from '../types.js';
import type {JobIndex} from './job-index.js';
import {JobClaims} from './job-claims.js';

type ClaimsWorld = TestWorld & {
	peers: PeerTable;
	claims: JobClaims;
	job: {isOpen: boolean};
	now: number;
	seq: number;
	membersLoadedAt: number | undefined;
};

const log: EventLog = {emit: () => undefined};
const self = branded<MemberName>('front-1');
const jobId = (name: string): BatchJobId => branded<BatchJobId>(name);

/** The interval between two reviews, in milliseconds. */
const reviewMs = 150;

/** Longer than a process that has just started listens to its peers, in milliseconds. */
const longEnoughMs = 1000;

Given('job {string} is open', function (this: ClaimsWorld, name: string) {
	this.now = 0;
	this.seq = 0;
	this.membersLoadedAt = 0;
	const clock: Clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined};
	const directory = new ReplicaDirectory();
	this.peers = new PeerTable({
		self, directory, loads: new LoadBoard(), quarantine: new Quarantine({clock, log}), partQuarantine: testPartQuarantine(clock), clock, log,
	});
	const job = {id: jobId(name), isOpen: true, isHeld: false};
	this.job = job;
	const jobIndex = {
		get openJobs() {
			return job.isOpen ? [job] : [];
		},
		job: () => job,
	} as unknown as JobIndex;
	this.claims = new JobClaims({
		self, jobIndex, peers: this.peers, clock, log, isLeaving: () => false, membersFirstLoadedAt: () => this.membersLoadedAt,
	});
});

Given('process {string} has listened long enough', function (this: ClaimsWorld, _name: string) {
	this.now += longEnoughMs;
});

Given('the claims were reviewed {int} ms before {string} was open', function (this: ClaimsWorld, ms: number, _job: string) {
	this.job.isOpen = false;
	this.claims.review();
	this.now += ms;
	this.job.isOpen = true;
});

Given('process {string} was paused for {int} ms', function (this: ClaimsWorld, _name: string, ms: number) {
	this.now += ms;
});

Given('process {string} continues for {int} ms', function (this: ClaimsWorld, _name: string, ms: number) {
	const reviews = Math.ceil(ms / reviewMs);
	Array.from({length: reviews}).forEach(() => {
		this.now += ms / reviews;
		this.claims.review();
	});
});

Given('process {string} did not have the addresses of its peers until now', function (this: ClaimsWorld, _name: string) {
	this.membersLoadedAt = this.now;
});

const announce = (world: ClaimsWorld, peer: string, jobs: BatchJobId[]) => {
	world.seq += 1;
	world.peers.receive({
		member: branded<MemberName>(peer), address: '127.0.0.1:1', rpcAddress: '127.0.0.1:1', reachesObjectApi: true, startedAt: 1, seq: world.seq, isLeaving: true, loads: [], jobs,
	});
};

Given('peer {string} runs {string} and is leaving', function (this: ClaimsWorld, peer: string, job: string) {
	announce(this, peer, [jobId(job)]);
});

Given('peer {string} runs nothing and is leaving', function (this: ClaimsWorld, peer: string) {
	announce(this, peer, []);
});

When('the claims are reviewed', function (this: ClaimsWorld) {
	this.claims.review();
});

When('{string} is handed over to {string}', function (this: ClaimsWorld, job: string, _self: string) {
	this.claims.accept(jobId(job));
});

Then('{string} runs {string}', function (this: ClaimsWorld, _self: string, job: string) {
	assert.ok(this.claims.has(jobId(job)));
});

Then('{string} does not run {string}', function (this: ClaimsWorld, _self: string, job: string) {
	assert.equal(this.claims.has(jobId(job)), false);
});
