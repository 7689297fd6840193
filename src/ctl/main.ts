/**
Citronctl, for the product's own object API and entries.
*/
import process from 'node:process';
import {HttpObjectApi} from '../io/http-object-api.js';
import {runCitronctl} from './citronctl.js';
import type {Command} from './command.js';
import {applyCommand, validateCommand} from './commands/apply.js';
import {deleteCommand} from './commands/delete.js';
import {explainCommand} from './commands/explain.js';
import {
	jobCancelCommand, jobResultsCommand, jobSubmitCommand, jobWatchCommand,
} from './commands/job.js';
import {describeCommand, getCommand, statusCommand} from './commands/read.js';
import {timelineCommand} from './commands/timeline.js';
import {watchCommand} from './commands/watch.js';

const commands: readonly Command[] = [
	applyCommand,
	validateCommand,
	getCommand,
	describeCommand,
	watchCommand,
	deleteCommand,
	explainCommand,
	timelineCommand,
	statusCommand,
	jobSubmitCommand,
	jobWatchCommand,
	jobResultsCommand,
	jobCancelCommand,
];

runCitronctl(process.argv, commands, (client, options) => new HttpObjectApi(client, options));
