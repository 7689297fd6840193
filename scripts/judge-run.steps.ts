/**
Steps for when CI passes.
*/
import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {type TestWorld} from '../src/common/testing/test-world.js';
import {runToEnd, type Ended} from '../src/io/testing/run-process.js';

type JudgeWorld = TestWorld & {
	folder: string;
	status: number;
	verdict: Ended;
};

const partsOf = (list: string): string[] => list.split(',').map(part => part.trim()).filter(part => part !== '');

const resultOf = (part: string) => {
	const [name, status] = part.split(' ');
	return {
		name, status, uri: 'x.feature', passed: status === 'PASSED', isCrowd: name?.startsWith('crowd') === true,
	};
};

Given('a run of scenarios that ended as {string} with status {int}', async function (this: JudgeWorld, results: string, status: number) {
	this.folder = await mkdtemp(path.join(tmpdir(), 'judge-'));
	this.register(async () => rm(this.folder, {recursive: true}));
	this.status = status;
	await writeFile(path.join(this.folder, 'results.json'), JSON.stringify(partsOf(results).map(resultOf)));
});

Given('KNOWN-RED.txt lists {string}', async function (this: JudgeWorld, known: string) {
	const lines = partsOf(known).map(part => part.replaceAll('~', '|'));
	await writeFile(path.join(this.folder, 'KNOWN-RED.txt'), lines.join('\n'));
});

When('CI judges the run', async function (this: JudgeWorld) {
	this.verdict = await runToEnd([path.resolve('scripts/judge-run.js'), String(this.status), 'results.json'], {cwd: this.folder});
});

Then('CI {word} and ends with {string}', function (this: JudgeWorld, verdict: string, counts: string) {
	assert.equal(this.verdict.code === 0 ? 'passes' : 'fails', verdict, this.verdict.stdout);
	assert.equal(this.verdict.stdout.trimEnd().split('\n').at(-1), counts);
});

Then('CI prints {string}', function (this: JudgeWorld, line: string) {
	assert.ok(this.verdict.stdout.split('\n').includes(line), this.verdict.stdout);
});
