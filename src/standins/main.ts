/**
The program `citronyard-standin`: one outside system on loopback, for tests and trials. It prints one line of JSON with its address when it is up, and runs until SIGTERM or SIGINT.
*/
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {parse, type ParseError} from 'jsonc-parser';
import {Left, Right, type Either} from 'purify-ts/Either';
import sade from 'sade';
import type {z} from 'zod';
import type {Disposable} from '../common/services.js';
import {engineSettingsSchema} from './engine-settings.js';
import {EngineStandin} from './engine-standin.js';
import {objectApiSettingsSchema, ObjectApiStandin} from './object-api-standin.js';
import {serviceSettingsSchema, ServiceStandin} from './service-standin.js';
import type {ListenSettings} from './standin-server.js';
import {vmListSettingsSchema, VmListStandin} from './vm-list-standin.js';
import {weightStoreSettingsSchema, WeightStoreStandin} from './weight-store-standin.js';

declare const CITRONYARD_VERSION: string;

type Standin = Disposable & {readonly address: string};

type Program = {
	readonly describe: string;
	readonly schema: z.ZodType<object>;
	readonly start: (settings: ListenSettings) => Promise<Standin>;
};

type Options = {readonly host: string; readonly port: string | number; readonly settings?: string};

const programs: Readonly<Record<string, Program>> = {
	'object-api': {describe: 'The platform\'s object API, in memory', schema: objectApiSettingsSchema, start: async settings => ObjectApiStandin.start(settings)},
	'vm-list': {describe: 'The platform\'s VM list', schema: vmListSettingsSchema, start: async settings => VmListStandin.start(settings)},
	'weight-store': {describe: 'The rate-limited weight store', schema: weightStoreSettingsSchema, start: async settings => WeightStoreStandin.start(settings)},
	engine: {describe: 'A model engine with an OpenAI-compatible API', schema: engineSettingsSchema, start: async settings => EngineStandin.start(settings)},
	service: {describe: 'A plain service that counts its runs', schema: serviceSettingsSchema, start: async settings => ServiceStandin.start(settings)},
};

const failureExitCode = 2;

const fail = (message: string): void => {
	process.stderr.write(`citronyard-standin: ${message}\n`);
	process.exitCode = failureExitCode;
};

const readSettings = (file: string | undefined, schema: Program['schema']): Either<string, object> => {
	const errors: ParseError[] = [];
	const value: unknown = file === undefined ? {} : parse(readFileSync(file, 'utf8'), errors, {allowTrailingComma: true});
	const parsed = schema.safeParse(value);
	return errors.length === 0 && parsed.success
		? Right(parsed.data)
		: Left(`${file ?? 'settings'}: ${parsed.error?.message ?? 'not JSON with comments'}`);
};

const serve = async (program: Program, listen: ListenSettings): Promise<void> => {
	const standin = await program.start(listen);
	const stop = (): void => {
		standin.dispose();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	process.stdout.write(`${JSON.stringify({listening: standin.address})}\n`);
};

const run = async (program: Program, options: Options): Promise<void> => {
	try {
		await readSettings(options.settings, program.schema).caseOf({
			async Left(reason) {
				fail(reason);
			},
			Right: async settings => serve(program, {...settings, host: options.host, port: Number(options.port)}),
		});
	} catch (err) {
		fail(String(err));
	}
};

const cli = sade('citronyard-standin')
	.version(CITRONYARD_VERSION)
	.describe('Stands in for the systems that citronyard depends on. Listens on loopback by default and prints its address as one line of JSON.')
	.option('--host', 'IP number to listen at', '127.0.0.1')
	.option('--port', 'Port to listen at; 0 takes any free one', 0)
	.option('--settings', 'File of settings, JSON with comments');

Object.entries(programs).forEach(([name, program]) => {
	cli.command(name)
		.describe(program.describe)
		.action((options: Options) => {
			void run(program, options);
		});
});

cli.parse(process.argv);
