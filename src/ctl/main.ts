/**
Citronctl, the operators' command line. It only puts commands, options and exit codes together; what commands do is in `commands/`.
*/
import process from 'node:process';
import sade from 'sade';
import {Left, Right, type Either} from 'purify-ts/Either';
import {exitCodes} from '../io/exit-codes.js';
import {reportUsageErrors, tellUnknownOption} from '../io/usage-errors.js';
import {version} from '../io/version.js';
import type {Command, Options} from './command.js';
import {applyCommand, validateCommand} from './commands/apply.js';
import {deleteCommand} from './commands/delete.js';
import {explainCommand} from './commands/explain.js';
import {
	jobCancelCommand, jobResultsCommand, jobSubmitCommand, jobWatchCommand,
} from './commands/job.js';
import {describeCommand, getCommand, statusCommand} from './commands/read.js';
import {timelineCommand} from './commands/timeline.js';
import {watchCommand} from './commands/watch.js';
import {type Output} from './ctl-context.js';
import {ctlError, type CtlError} from './ctl-error.js';
import {ctlSettings} from './ctl-settings.js';
import {processContext} from './process-context.js';

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

const commonOptions = [
	['-s, --settings', 'A settings file, JSON with comments: objectApi, entry, timeoutMs'],
	['--object-api', 'ip:port of the object API; CITRONYARD_OBJECT_API by default'],
	['--entry', 'ip:port of an entry; CITRONYARD_ENTRY by default'],
	['-o, --output', 'table or json'],
] as const;

const formats: Readonly<Record<string, Output['format']>> = {table: 'table', json: 'json'};

const formatOf = ({output = 'table'}: Options): Either<CtlError, Output['format']> => {
	const format = formats[output];
	return format ? Right(format) : Left(ctlError(exitCodes.usage, `--output wants table or json, not "${output}"`));
};

const end = ({lines, exitCode}: CtlError): void => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exitCode = exitCode;
};

const endSignal = (): AbortSignal => {
	const controller = new AbortController();
	process.once('SIGINT', () => {
		controller.abort();
		// A watch may wait long for its answer; nothing is lost by not waiting for it.
		process.exit(exitCodes.ok);
	});
	return controller.signal;
};

const run = async ({run: act}: Command, args: ReadonlyArray<string | undefined>, options: Options): Promise<void> => {
	const context = formatOf(options).chain(format => ctlSettings(options, process.env).map(settings => processContext(settings, format, endSignal())));
	if (context.isLeft()) {
		end(context.extract());
		return;
	}

	const ready = context.unsafeCoerce();
	const outcome = await act(ready, args, options);
	ready.dispose();
	outcome.ifLeft(end);
};

/** A fault of citronctl itself: told in one line, since a stack trace helps no operator. */
const breakDown = (err: unknown): void => {
	end(ctlError(exitCodes.brokenInvariant, `citronctl: a fault in the program itself: ${err instanceof Error ? err.message : String(err)}`));
};

/** The long names of all options; all take a text, also where it looks like a number. */
const optionNames = [...commonOptions, ...commands.flatMap(({options = []}) => options)]
	.map(([flags]) => flags.replace(/^.*--/v, ''));

const main = (argv: string[]): void => {
	reportUsageErrors();
	process.on('uncaughtException', err => {
		breakDown(err);
		process.exit();
	});
	process.on('unhandledRejection', err => {
		breakDown(err);
		process.exit();
	});
	const cli = sade('citronctl').version(version);
	commonOptions.forEach(([flags, help]) => {
		cli.option(flags, help);
	});
	commands.forEach(command => {
		cli.command(command.usage, command.describe);
		command.options?.forEach(([flags, help]) => {
			cli.option(flags, help);
		});
		if (command.example) {
			cli.example(command.example);
		}

		cli.action(async (...given: unknown[]) => run(command, given.slice(0, -1) as Array<string | undefined>, given.at(-1) as Options));
	});
	cli.parse(argv, {unknown: tellUnknownOption, string: [...new Set(optionNames)]});
};

main(process.argv);
