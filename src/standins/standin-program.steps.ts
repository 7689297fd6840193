/**
Steps for the program of the stand-ins, which run it from source.
*/
import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../common/testing/test-world.js';
import {RunningProcess, runToEnd, type Ended} from '../io/testing/run-process.js';

type ProgramWorld = TestWorld & {
	ended: Ended;
	program: RunningProcess;
};

const program = ['--import', 'tsx', 'src/standins/main.ts'];

const listeningAt = (stdout: string): string | undefined => /"listening":"(?<address>[^"]+)"/v.exec(stdout)?.groups?.address;

When('the stand-in {string} is started with an unknown key {string}', async function (this: ProgramWorld, command: string, key: string) {
	const dir = await mkdtemp(path.join(tmpdir(), 'standin-'));
	this.register(async () => rm(dir, {recursive: true}));
	const file = path.join(dir, 'settings.jsonc');
	await writeFile(file, JSON.stringify({[key]: 1}));
	this.ended = await runToEnd([...program, command, '--settings', file]);
});

Then('the program names {string}, exits with {int} and prints no stack trace', function (this: ProgramWorld, key: string, code: number) {
	assert.match(this.ended.stderr, new RegExp(`:1:2: ${key}: is not a known key`, 'v'));
	assert.doesNotMatch(this.ended.stderr, /^\s+at /mv);
	assert.equal(this.ended.code, code);
});

When('the stand-in {string} is started on any port', function (this: ProgramWorld, command: string) {
	this.program = this.register(new RunningProcess([...program, command]));
});

Then('it answers at the address that it printed', async function (this: ProgramWorld) {
	const address = await this.program.output(stdout => listeningAt(stdout));
	const res = await fetch(`http://${address}/hello`);
	assert.equal(res.status, 200);
});

Then('it exits with {int} on SIGTERM', async function (this: ProgramWorld, code: number) {
	this.program.signal('SIGTERM');
	const ended = await this.program.ended;
	assert.equal(ended.code, code);
});
