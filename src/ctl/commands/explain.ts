/**
`explain`: tells from log files what became of a call, a batch job or an item.
*/
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {Left, Right, type Either} from 'purify-ts/Either';
import {exitCodes} from '../../io/exit-codes.js';
import {type Command} from '../command.js';
import {ctlError, type CtlError} from '../ctl-error.js';
import {
	readLogLine, storyOf, type LogLine, type Story,
} from '../explain/log-story.js';

const standardInput = '-';

/** Lines that do not hold the id are not parsed: a log may be many times larger than what is looked for. */
const readLines = async (file: string, id: string): Promise<Either<CtlError, LogLine[]>> => {
	const input = file === standardInput ? process.stdin : createReadStream(file, 'utf8');
	const found: LogLine[] = [];
	try {
		for await (const line of createInterface({input, crlfDelay: Infinity})) {
			const event = line.includes(id) ? readLogLine(line) : undefined;
			if (event) {
				found.push(event);
			}
		}
	} catch (err) {
		return Left(ctlError(exitCodes.fileMissing, `${file}: cannot be read (${(err as NodeJS.ErrnoException).code ?? String(err)})`));
	}

	return Right(found);
};

const fieldText = ([name, value]: [string, unknown]): string => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`;

const lineText = ({time, node, event, msg, fields}: LogLine): string => [time, node, event, msg, ...Object.entries(fields).map(entry => fieldText(entry))].join('  ');

const unknownCause = 'the lines show no end; look at the logs of the other processes, and at events 714 to 718 around the last line';

const printers: Readonly<Record<'json' | 'table', (story: Story) => string[]>> = {
	json: story => [JSON.stringify(story)],
	table: ({lines, cause}) => [...lines.map(line => lineText(line)), '', `cause: ${cause ?? unknownCause}`],
};

/** Explains one id. */
export const explainCommand: Command = {
	usage: 'explain <id>',
	describe: 'Tell from log files what became of a call, a batch job or an item',
	options: [['-f, --files', 'Log files, separated by commas; standard input by default']],
	example: 'explain 9c41d07be2a35f68 --files front-1.log,front-2.log',
	async run({output}, [id = ''], {files = standardInput}) {
		const read = await Promise.all(files.split(',').map(async file => readLines(file, id)));
		const failed = read.find(outcome => outcome.isLeft());
		if (failed) {
			return failed;
		}

		const story = storyOf(id, read.flatMap(outcome => outcome.orDefault([])));
		if (story.lines.length === 0) {
			return Left(ctlError(exitCodes.notFound, `${id}: no line names it`));
		}

		printers[output.format](story).forEach(line => {
			output.print(line);
		});
		return Right(story);
	},
};
