/**
Steps for the lifecycle of a daemon. They run the sample program in its own process.
*/
import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import {RunningProcess} from './testing/run-process.js';

type ProgramWorld = TestWorld & {
	daemon: RunningProcess;
	settingsFile: string;
};

type Logged = {readonly event: number; readonly sinceStart?: number};

const sampleProgram = ['--import', 'tsx', 'src/io/testing/sample-program.ts'];

const linesOf = (stdout: string): Logged[] => stdout.split('\n')
	.filter(line => line.startsWith('{'))
	.map(line => JSON.parse(line) as Logged);

const loggedEvents = (stdout: string): number[] => linesOf(stdout).map(({event}) => event);

const startDaemon = async (world: ProgramWorld, behaviour: string, flags: readonly string[] = []): Promise<void> => {
	const dir = await mkdtemp(path.join(tmpdir(), 'program-'));
	world.register(async () => rm(dir, {recursive: true}));
	const file = path.join(dir, 'settings.jsonc');
	world.settingsFile = file;
	await writeFile(file, JSON.stringify({listen: '127.0.0.1:0', queueBytes: 0, behaviour}));
	world.daemon = world.register(new RunningProcess([...sampleProgram, '--settings', file, ...flags]));
};

const eventLogged = async (daemon: RunningProcess, number: number): Promise<unknown> =>
	daemon.output(stdout => stdout.includes(`"event":${number},`) ? true : undefined);

Given('a daemon that {string} has started', async function (this: ProgramWorld, behaviour: string) {
	await startDaemon(this, behaviour);
	await eventLogged(this.daemon, 100);
});

When('a daemon that {string} is started', async function (this: ProgramWorld, behaviour: string) {
	await startDaemon(this, behaviour);
});

When('a daemon that {string} is started with {string}', async function (this: ProgramWorld, behaviour: string, flag: string) {
	await startDaemon(this, behaviour, [flag]);
});

When('the daemon receives {string}', function (this: ProgramWorld, signal: NodeJS.Signals) {
	this.daemon.signal(signal);
});

When('the settings of the daemon are changed to {string} and it receives {string}', async function (this: ProgramWorld, logLevel: string, signal: NodeJS.Signals) {
	await writeFile(this.settingsFile, JSON.stringify({
		listen: '127.0.0.1:0', queueBytes: 0, behaviour: 'drains', logLevel,
	}));
	this.daemon.signal(signal);
});

When('the daemon receives {string} once event {int} is logged', async function (this: ProgramWorld, signal: NodeJS.Signals, number: number) {
	await eventLogged(this.daemon, number);
	this.daemon.signal(signal);
});

Then('the daemon exited with {int}', async function (this: ProgramWorld, code: number) {
	const ended = await this.daemon.ended;
	assert.equal(ended.code, code, ended.stderr);
});

Then('the daemon printed {string} and exited with {int}', async function (this: ProgramWorld, text: string, code: number) {
	const ended = await this.daemon.ended;
	assert.equal(ended.code, code, ended.stderr);
	assert.ok(ended.stdout.includes(text), ended.stdout);
});

Then('the daemon reported {string}', async function (this: ProgramWorld, text: string) {
	const {stderr} = await this.daemon.ended;
	assert.ok(stderr.includes(text), stderr);
	assert.doesNotMatch(stderr, /^\s+at /mv);
});

Then('the daemon logged events {string}', async function (this: ProgramWorld, numbers: string) {
	const {stdout} = await this.daemon.ended;
	assert.deepEqual(loggedEvents(stdout), numbers.split(', ').map(Number));
});

Then('the daemon logged nothing', async function (this: ProgramWorld) {
	const {stdout} = await this.daemon.ended;
	assert.equal(stdout, '');
});

Then('all {int} lines are logged or counted as dropped', async function (this: ProgramWorld, count: number) {
	const {stdout} = await this.daemon.ended;
	const lines = linesOf(stdout);
	const dropped = lines.findLast(({event}) => event === 108)?.sinceStart ?? 0;
	assert.ok(dropped > 0);
	assert.equal(lines.filter(({event}) => event === 999).length + dropped, count);
});
