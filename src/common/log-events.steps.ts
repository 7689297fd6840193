/**
Steps for the page of log events.
*/
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Then, When} from '@cucumber/cucumber';
import {
	areaOf, cataloguedEvents, logEventPage, pagePath, type CataloguedEvent,
} from '../../scripts/log-event-page.js';
import {type TestWorld} from './testing/test-world.js';

type EventsWorld = TestWorld & {
	catalogued: readonly CataloguedEvent[];
};

const rowPattern = /^\| (?<number>\d+) \| (?<level>\w+) \| `(?<name>\w+)` \| (?<text>.*) \|$/gmv;

const keyOf = ({number, level, name, text}: Pick<CataloguedEvent, 'level' | 'name' | 'text'> & {number: number | string}): string => `${number} ${level} ${name} ${text}`;

const page = (): string => readFileSync(pagePath, 'utf8');

const rowsOnPage = (): string[] => [...page().matchAll(rowPattern)]
	.map(({groups}) => keyOf(groups as unknown as CataloguedEvent));

When('the catalogues of log events are read', async function (this: EventsWorld) {
	this.catalogued = await cataloguedEvents();
	assert.ok(this.catalogued.length > 0);
});

Then('each event is listed on the page with its number, level, name and text', function (this: EventsWorld) {
	const rows = new Set(rowsOnPage());
	assert.deepEqual(this.catalogued.map(keyOf).filter(key => !rows.has(key)), []);
});

Then('each event on the page is defined in a catalogue', function (this: EventsWorld) {
	const cataloguedKeys = new Set(this.catalogued.map(keyOf));
	assert.deepEqual(rowsOnPage().filter(row => !cataloguedKeys.has(row)), []);
});

Then('the page is as {string} writes it', function (this: EventsWorld, _command: string) {
	assert.equal(page(), logEventPage(this.catalogued));
});

Then('no two events share a number', function (this: EventsWorld) {
	const numbers = this.catalogued.map(({number}) => number);
	const shared = this.catalogued.filter(({number}, i) => numbers.indexOf(number) < i);
	assert.deepEqual(shared.map(({number, file}) => `${number} ${file}`), []);
});

Then('each number lies in an area of the page', function (this: EventsWorld) {
	assert.deepEqual(this.catalogued.filter(({number}) => areaOf(number) === undefined).map(keyOf), []);
});
