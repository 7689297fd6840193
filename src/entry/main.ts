/**
The program `citronyard-entry`.
*/
import {Right, type Either} from 'purify-ts/Either';
import {JsonlTrace} from '../io/jsonl-trace.js';
import {
	runProgram, type ProgramServices, type RunningProgram, type StartError,
} from '../io/program.js';
import {Entry} from './entry.js';
import {entrySettingsSchema, type EntrySettings} from './settings.js';

const openTrace = ({trace}: EntrySettings): Either<StartError, JsonlTrace | undefined> => trace === undefined ? Right(undefined) : JsonlTrace.open(trace);

const startEntry = async (settings: EntrySettings, services: ProgramServices, trace: JsonlTrace | undefined): Promise<Either<StartError, RunningProgram>> => {
	const entry = new Entry(settings, {...services, trace});
	const started = await entry.start();
	return started.map(() => ({
		addresses: entry.addresses,
		drain: async () => entry.drain(),
		dispose() {
			entry.dispose();
			trace?.dispose();
		},
	}));
};

runProgram({
	name: 'citronyard-entry',
	describe: 'Takes callers\' requests, routes them to replicas, and coordinates batch jobs.',
	schema: entrySettingsSchema,
	async start(settings, services) {
		const opened = openTrace(settings);
		return opened.isLeft() ? opened : startEntry(settings, services, opened.extract() as JsonlTrace | undefined);
	},
});
