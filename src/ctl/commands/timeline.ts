/**
`timeline`: tells from log files what a fleet did, second by second.
*/
import {Left, Right} from 'purify-ts/Either';
import {exitCodes} from '../../io/exit-codes.js';
import {type Command} from '../command.js';
import {ctlError} from '../ctl-error.js';
import {readLogFiles, standardInput} from '../logs/log-files.js';
import {type LogLine} from '../logs/log-line.js';
import {alignedLines} from '../resource-table.js';
import {FleetTimeline, type TimelineSecond} from '../timeline/fleet-timeline.js';

type Column = {
	readonly title: string;
	readonly value: (second: TimelineSecond) => string | number;
};

/** From the ISO time, what differs between the lines of one incident. */
const clockOf = ({at}: TimelineSecond): string => at.slice(11, 19);

const columns: readonly Column[] = [
	{title: 'TIME', value: clockOf},
	{title: 'CALLS', value: ({callsInFlight}) => callsInFlight},
	{title: 'ANSWERED', value: ({callsAnswered}) => callsAnswered},
	{title: 'REFUSED', value: ({callsRefused}) => callsRefused},
	{title: 'FAILED', value: ({callsFailed}) => callsFailed},
	{title: 'FIRST-P50-MS', value: ({firstByteP50Ms}) => firstByteP50Ms},
	{title: 'P99-MS', value: ({firstByteP99Ms}) => firstByteP99Ms},
	{title: 'ITEMS', value: ({itemsInFlight}) => itemsInFlight},
	{title: 'BEGUN', value: ({runsBegun}) => runsBegun},
	{title: 'LATE', value: ({runsBegunLate}) => runsBegunLate},
	{title: 'DONE', value: ({runsFinished}) => runsFinished},
	{title: 'CUT', value: ({runsCut}) => runsCut},
	{title: 'NO-API', value: ({withoutObjectApi}) => withoutObjectApi},
	{title: 'NOT-RUN-JOBS', value: ({jobsWithoutRunner}) => jobsWithoutRunner},
];

const printers: Readonly<Record<'json' | 'table', (seconds: readonly TimelineSecond[]) => readonly string[]>> = {
	json: seconds => [JSON.stringify(seconds)],
	table: seconds => alignedLines([columns.map(({title}) => title), ...seconds.map(second => columns.map(({value}) => String(value(second))))]),
};

/** A cheap look at a line before it is parsed; the log writes the number right after this name. */
const eventField = /"event":(?<number>\d+)/v;

const eventOf = (line: string): number => Number(eventField.exec(line)?.groups?.number);

const byTime = (a: LogLine, b: LogLine): number => (a.time < b.time ? -1 : Number(a.time > b.time));

/** Tells what a fleet did. */
export const timelineCommand: Command = {
	usage: 'timeline',
	describe: 'Tell from log files what the fronts did, second by second',
	options: [['-f, --files', 'Log files, separated by commas; standard input by default']],
	example: 'timeline --files front-1.log,front-2.log',
	async run({output}, _args, {files = standardInput}) {
		const timeline = new FleetTimeline();
		const read = await readLogFiles(files.split(','), line => timeline.tells(eventOf(line)));
		if (read.isLeft()) {
			return read;
		}

		read.orDefault([]).toSorted(byTime).forEach(line => {
			timeline.take(line);
		});
		const {seconds} = timeline;
		if (seconds.length === 0) {
			return Left(ctlError(exitCodes.notFound, 'no line tells of a call, a batch item or the object API'));
		}

		printers[output.format](seconds).forEach(line => {
			output.print(line);
		});
		return Right(seconds);
	},
};
