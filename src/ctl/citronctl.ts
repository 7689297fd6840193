/**
The frame of the operators' command line: it puts commands, options and exit codes together. What commands do is in `commands/`; which there are, and what object API they talk to, is each program's.
*/
import process from 'node:process';
import sade from 'sade';
import {Left, Right, type Either} from 'purify-ts/Either';
import {exitCodes} from '../io/exit-codes.js';
import {reportUsageErrors, reportUnknownOption} from '../io/usage-errors.js';
import {version} from '../io/version.js';
import type {Command, Options} from './command.js';
import {type Output} from './ctl-context.js';
import {ctlError, type CtlError} from './ctl-error.js';
import {ctlSettings} from './ctl-settings.js';
import {processContext, type ConnectObjectApi} from './process-context.js';

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

const run = async ({run: act}: Command, connect: ConnectObjectApi, args: ReadonlyArray<string | undefined>, options: Options): Promise<void> => {
	const context = formatOf(options).chain(format => ctlSettings(options, process.env).map(settings => processContext({
		settings, connect, format, signal: endSignal(),
	})));
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

/**
Runs one command.

@param argv - The process's arguments.
@param commands - Those of the program.
@param connect - Opens the object API that its commands talk to.
*/
export const runCitronctl = (argv: string[], commands: readonly Command[], connect: ConnectObjectApi): void => {
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

		cli.action(async (...given: unknown[]) => run(command, connect, given.slice(0, -1) as Array<string | undefined>, given.at(-1) as Options));
	});
	cli.parse(argv, {unknown: reportUnknownOption, string: optionNames(commands)});
};

/** The long names of all options; all take a text, also where it looks like a number. */
const optionNames = (commands: readonly Command[]): string[] => {
	const flags = [...commonOptions, ...commands.flatMap(({options = []}) => options)].map(([text]) => text.replace(/^.*--/v, ''));
	return [...new Set(flags)];
};
