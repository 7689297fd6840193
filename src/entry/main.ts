/**
The program `citronyard-entry`.
*/
import {runProgram} from '../platform/program.js';
import {Entry} from './entry.js';
import {entrySettingsSchema} from './settings.js';

runProgram({
	name: 'citronyard-entry',
	describe: 'Takes callers\' requests, routes them to replicas, and coordinates batch jobs.',
	schema: entrySettingsSchema,
	async start(settings, services) {
		const entry = new Entry(settings, services);
		const started = await entry.start();
		return started.map(() => entry);
	},
});
