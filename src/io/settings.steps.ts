/**
Steps for the validation of settings.
*/
import assert from 'node:assert/strict';
import {existsSync, readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Then, When, type DataTable} from '@cucumber/cucumber';
import {type Either} from 'purify-ts/Either';
import * as z from 'zod';
import {type TestWorld} from '../common/testing/test-world.js';
import {exitCodes} from './exit-codes.js';
import {loadSettings} from './settings.js';
import {type SettingsError} from './settings-error.js';
import {
	commonSettings, countOf, durationMs, listenAddressSchema, sizeBytes,
} from './settings-schemas.js';
import {runToEnd, type Ended} from './testing/run-process.js';

type SettingsWorld = TestWorld & {
	loaded: Either<SettingsError, Record<string, unknown>>;
	runs: Array<Ended & {readonly program: string}>;
};

const schema = z.strictObject({
	...commonSettings,
	listen: listenAddressSchema,
	queueBytes: sizeBytes(),
	tries: countOf(2),
	timeoutMs: durationMs(1000),
	backend: z.discriminatedUnion('type', [
		z.strictObject({type: z.literal('engine'), maxRunning: countOf()}),
		z.strictObject({type: z.literal('service')}),
	]).optional(),
});

const fileWith = async (world: TestWorld, text: string): Promise<string> => {
	const dir = await mkdtemp(path.join(tmpdir(), 'settings-'));
	world.register(async () => rm(dir, {recursive: true}));
	const file = path.join(dir, 'settings.jsonc');
	await writeFile(file, text);
	return file;
};

When('a program loads these settings', async function (this: SettingsWorld, text: string) {
	this.loaded = loadSettings(schema, await fileWith(this, text));
});

When('a program loads settings that do not exist', function (this: SettingsWorld) {
	this.loaded = loadSettings(schema, 'no-such-folder/settings.jsonc');
});

Then('these problems are reported', function (this: SettingsWorld, table: DataTable) {
	const err = this.loaded.swap().unsafeCoerce();
	assert.equal(err.kind, 'invalid');
	const reported = err.kind === 'invalid' ? err.problems.map(problem => [`${problem.line}:${problem.column}`, problem.key, problem.message]) : [];
	assert.deepEqual(reported, table.raw());
});

Then('the settings cannot be read: {string}', function (this: SettingsWorld, reason: string) {
	const err = this.loaded.swap().unsafeCoerce();
	assert.deepEqual(err, {kind: 'unreadable', file: 'no-such-folder/settings.jsonc', reason});
});

Then('the settings are', function (this: SettingsWorld, table: DataTable) {
	const settings = this.loaded.unsafeCoerce();
	assert.deepEqual(table.raw().map(([key = '']) => [key, String(settings[key])]), table.raw());
});

/** First command in the help text: a program with several commands requires one, followed by `--settings` and the arguments of the command. */
const firstCommand = (help: string): string[] => {
	const {name} = /Available Commands\n\s+(?<name>\S+)/v.exec(help)?.groups ?? {};
	return name === undefined ? [] : [name];
};

const builtPrograms = (): string[] => {
	const {bin} = JSON.parse(readFileSync('package.json', 'utf8')) as {bin: Record<string, string>};
	return Object.values(bin).filter(file => existsSync(file));
};

/** Command lines of all built programs, up to the position of `--settings`. */
const calls = async (): Promise<string[][]> => Promise.all(builtPrograms().map(async program => {
	const {stdout} = await runToEnd([program, '--help']);
	return [program, ...firstCommand(stdout)];
}));

When('each built program that takes settings is started with an unknown key {string}', async function (this: SettingsWorld, key: string) {
	const file = await fileWith(this, JSON.stringify({[key]: 1}));
	const called = await calls();
	const helps = await Promise.all(called.map(async call => ({call, ...await runToEnd([...call, '--help'])})));
	const programsWithSettings = helps.filter(({stdout}) => stdout.includes('--settings'));
	this.runs = await Promise.all(programsWithSettings.map(async ({call}) => ({program: call.join(' '), ...await runToEnd([...call, '--settings', file])})));
	assert.ok(this.runs.length > 0);
});

Then('each reports {string}, exits with {int} and prints no stack trace', function (this: SettingsWorld, key: string, code: number) {
	assert.equal(code, exitCodes.settings);
	this.runs.forEach(({program, stderr, code: actual}) => {
		assert.match(stderr, new RegExp(`:1:2: ${key}: is not a known key`, 'v'), program);
		assert.equal(actual, code, program);
		assert.doesNotMatch(stderr, /^\s+at /mv, program);
	});
});
