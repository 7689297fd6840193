/**
Puts the page of numbered log events together from the catalogues in the code, so that the page cannot fall behind them.
*/
import {readdirSync} from 'node:fs';
import path from 'node:path';
import {pathToFileURL} from 'node:url';
import {type EventDefinition} from '../src/common/types.js';

/** An event and where it is defined. */
export type CataloguedEvent = EventDefinition & {
	/** The key in its catalogue. */
	readonly name: string;
	/** The catalogue's file, from the root of the repository. */
	readonly file: string;
};

/** The path of the page, from the root of the repository. */
export const pagePath = 'docs/LOG-EVENTS.md';

/** Areas by the hundred that their numbers begin with. */
const areas: ReadonlyArray<readonly [hundred: number, title: string]> = [
	[1, 'All programs'],
	[2, 'Entry'],
	[3, 'Agent'],
	[4, 'Batch jobs'],
	[5, 'Configuration, leases, placement'],
	[6, 'Command line, load, stand-ins, demo'],
	[7, 'Gateway: calls, replicas, batch jobs on the platform'],
];

const head = `# Log events

Each program writes one JSON object a line to standard output. \`event\` is the number below, \`program\` the program, \`level\` how urgent it is, \`time\` when it happened, and \`msg\` the text below; what else the line holds belongs to the event. The setting \`logLevel\` leaves out events that are less urgent. A number never changes its meaning and is never given to another event, so alerts and searches may rest on it.

This page is written by \`npm run log-events\` from the catalogues in the code, and a feature holds the two against each other.
`;

const isCatalogue = (file: string): boolean => file.endsWith('log-events.ts');

const isEvent = (value: unknown): value is EventDefinition => typeof (value as EventDefinition | undefined)?.number === 'number';

const eventsOf = async (file: string): Promise<CataloguedEvent[]> => {
	const module = await import(pathToFileURL(file).href) as Record<string, Record<string, unknown>>;
	return Object.values(module)
		.flatMap(catalogue => Object.entries(catalogue))
		.flatMap(([name, event]) => isEvent(event) ? [{...event, name, file}] : []);
};

/** @returns All events of all catalogues, by number. */
export const cataloguedEvents = async (): Promise<readonly CataloguedEvent[]> => {
	const files = readdirSync('src', {recursive: true, encoding: 'utf8'}).filter(isCatalogue).map(file => path.join('src', file));
	const events = await Promise.all(files.map(eventsOf));
	return events.flat().toSorted((a, b) => a.number - b.number);
};

const rowOf = ({number, level, name, text}: CataloguedEvent): string => `| ${number} | ${level} | \`${name}\` | ${text} |`;

const sectionOf = (title: string, events: readonly CataloguedEvent[]): string => events.length === 0
	? ''
	: `\n## ${title}\n\n| number | level | name in the code | text |\n| --- | --- | --- | --- |\n${events.map(rowOf).join('\n')}\n`;

/**
@param number - An event's number.
@returns The title of its area, `undefined` when no area has such numbers.
*/
export const areaOf = (number: number): string | undefined => areas.find(([hundred]) => hundred === Math.floor(number / 100))?.[1];

/**
@param events - All events, by number.
@returns The page.
*/
export const logEventPage = (events: readonly CataloguedEvent[]): string => head + areas
	.map(([, title]) => sectionOf(title, events.filter(({number}) => areaOf(number) === title)))
	.join('');
