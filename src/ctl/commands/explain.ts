/**
`explain`: tells from log files what became of a call, a batch job or an item.
*/
import {Left, Right} from 'purify-ts/Either';
import {exitCodes} from '../../io/exit-codes.js';
import {type Command} from '../command.js';
import {ctlError} from '../ctl-error.js';
import {storyOf, type Story} from '../explain/log-story.js';
import {readLogFiles, standardInput} from '../logs/log-files.js';
import {type LogLine} from '../logs/log-line.js';

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
		// Lines that do not hold the id are not parsed: a log may be many times larger than what is looked for.
		const read = await readLogFiles(files.split(','), line => line.includes(id));
		if (read.isLeft()) {
			return read;
		}

		const story = storyOf(id, read.orDefault([]));
		if (story.lines.length === 0) {
			return Left(ctlError(exitCodes.notFound, `${id}: no line names it`));
		}

		printers[output.format](story).forEach(line => {
			output.print(line);
		});
		return Right(story);
	},
};
