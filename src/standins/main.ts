/**
The program `citronyard-standin`: one outside system on loopback, for tests and trials. It prints one line of JSON with its address when it is up, and runs until SIGTERM or SIGINT. Each command has settings of its own, so `--settings` is an option of the commands.
*/
import process from 'node:process';
import {Right, type Either} from 'purify-ts/Either';
import sade from 'sade';
import type {z} from 'zod';
import type {Disposable} from '../common/services.js';
import {exitCodes, type ExitCode} from '../io/exit-codes.js';
import {loadSettings} from '../io/settings.js';
import {describeSettingsError, type SettingsError} from '../io/settings-error.js';
import {reportUsageErrors, reportUnknownOption} from '../io/usage-errors.js';
import {version} from '../io/version.js';
import {engineSettingsSchema} from './engine-settings.js';
import {EngineStandin} from './engine-standin.js';
import {objectApiSettingsSchema, ObjectApiStandin} from './object-api-standin.js';
import {serviceSettingsSchema, ServiceStandin} from './service-standin.js';
import type {ListenSettings} from './standin-server.js';
import {vmListSettingsSchema, VmListStandin} from './vm-list-standin.js';
import {weightStoreSettingsSchema, WeightStoreStandin} from './weight-store-standin.js';

type Standin = Disposable & {readonly address: string};

type StandinCommand = {
	readonly describe: string;
	readonly schema: z.ZodType<object>;
	readonly start: (settings: ListenSettings) => Promise<Standin>;
};

type Options = {readonly host: string; readonly port: string; readonly settings?: string};

const commands: Readonly<Record<string, StandinCommand>> = {
	'object-api': {
		describe: 'The platform\'s object API, in memory',
		schema: objectApiSettingsSchema,
		start: async settings => ObjectApiStandin.start(settings),
	},
	'vm-list': {
		describe: 'The platform\'s VM list',
		schema: vmListSettingsSchema,
		start: async settings => VmListStandin.start(settings),
	},
	'weight-store': {
		describe: 'The rate-limited weight store',
		schema: weightStoreSettingsSchema,
		start: async settings => WeightStoreStandin.start(settings),
	},
	engine: {
		describe: 'A model engine with an OpenAI-compatible API',
		schema: engineSettingsSchema,
		start: async settings => EngineStandin.start(settings),
	},
	service: {
		describe: 'A plain service that counts its runs',
		schema: serviceSettingsSchema,
		start: async settings => ServiceStandin.start(settings),
	},
};

const fail = (lines: readonly string[], exitCode: ExitCode): void => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exitCode = exitCode;
};

const settingsOf = ({schema}: StandinCommand, file: string | undefined): Either<SettingsError, object> =>
	file === undefined ? Right({}) : loadSettings(schema, file);

const serve = async (command: StandinCommand, listen: ListenSettings): Promise<void> => {
	try {
		const standin = await command.start(listen);
		const stop = (): void => {
			standin.dispose();
		};

		process.once('SIGTERM', stop);
		process.once('SIGINT', stop);
		process.stdout.write(`${JSON.stringify({listening: standin.address})}\n`);
	} catch (err) {
		fail([`citronyard-standin: ${String(err)}`], exitCodes.unavailable);
	}
};

const run = (command: StandinCommand, {host, port, settings}: Options): void => {
	settingsOf(command, settings).caseOf({
		Left(err) {
			const {lines, exitCode} = describeSettingsError(err);
			fail(lines, exitCode);
		},
		Right(loaded) {
			void serve(command, {...loaded, host, port: Number(port)});
		},
	});
};

reportUsageErrors();
const cli = sade('citronyard-standin')
	.version(version)
	.describe('Stands in for the systems that citronyard depends on. Listens on loopback by default and prints its address as one line of JSON.');

Object.entries(commands).forEach(([name, command]) => {
	cli.command(name)
		.describe(command.describe)
		.option('--host', 'IP number to listen at', '127.0.0.1')
		.option('--port', 'Port to listen at; 0 takes any free one', '0')
		.option('--settings', 'File of settings, JSON with comments')
		.action((options: Options) => {
			run(command, options);
		});
});

cli.parse(process.argv, {unknown: reportUnknownOption, string: ['host', 'port', 'settings']});
