/**
Steps for streams that are split into chunks, without a network.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {EventFramer, EventBoundaryTracker} from './event-framer.js';

/** One stream and what was forwarded of it. */
type FramedStream = {
	readonly sent: string;
	readonly forwarded: string;
	readonly isWithinEvent: boolean;
};

type FramerWorld = TestWorld & {
	streams: FramedStream[];
	processorMs: number;
};

const feedAll = (framer: EventFramer, chunks: readonly string[]): FramedStream => {
	const forwarded = chunks.map(chunk => framer.feed(Buffer.from(chunk)).toString());
	const end = new EventBoundaryTracker();
	chunks.forEach(chunk => {
		end.feed(Buffer.from(chunk));
	});
	assert.equal(end.isWithinEvent, framer.hasPartialEvent, JSON.stringify(chunks));
	return {sent: chunks.join(''), forwarded: forwarded.join('') + framer.remainder.toString(), isWithinEvent: framer.hasPartialEvent};
};

const lineEndOf = (lines: string): string => lines.replaceAll(String.raw`\r`, '\r').replaceAll(String.raw`\n`, '\n');

const events = ['id: 1|data: one||', ': comment||id: 2|data: two|data: more||', 'id: 3|data: three||'];

const streamWith = (lines: string): string => events.join('').replaceAll('|', lineEndOf(lines));

const offsetsIn = (text: string): number[] => Array.from({length: text.length}, (_, i) => i + 1);

When('a stream with line ends {string} is split into two chunks at any offset', function (this: FramerWorld, lines: string) {
	const stream = streamWith(lines);
	this.streams = offsetsIn(stream).map(at => feedAll(new EventFramer(0), [stream.slice(0, at), stream.slice(at)]));
});

When('a stream with line ends {string} stops within its last event, at any offset', function (this: FramerWorld, lines: string) {
	const [lastLength, blankLine] = [events.at(-1)!.replaceAll('|', lineEndOf(lines)).length, lineEndOf(lines).length];
	const stream = streamWith(lines);
	this.streams = offsetsIn(stream)
		.filter(length => length > stream.length - lastLength && length <= stream.length - blankLine)
		.map(length => feedAll(new EventFramer(0), [stream.slice(0, length)]));
});

Then('all its bytes are forwarded in order each time', function (this: FramerWorld) {
	assert.deepEqual(this.streams.map(({forwarded}) => forwarded), this.streams.map(({sent}) => sent));
});

Then('it ends between events each time', function (this: FramerWorld) {
	assert.ok(this.streams.length > 0);
	assert.deepEqual(this.streams.filter(({isWithinEvent}) => isWithinEvent), []);
});

Then('it ends within an event each time', function (this: FramerWorld) {
	assert.ok(this.streams.length > 0);
	assert.deepEqual(this.streams.filter(({isWithinEvent}) => !isWithinEvent), []);
});

When('an event of {int} MB arrives in chunks of {int} kB and is {word}', function (this: FramerWorld, megabytes: number, kilobytes: number, passing: 'held' | 'followed') {
	const chunk = Buffer.alloc(kilobytes * 1024, 'a');
	const splitter = passing === 'held' ? new EventFramer(0) : new EventBoundaryTracker();
	const before = process.cpuUsage();
	Array.from({length: megabytes * 1024 / kilobytes}).forEach(() => {
		splitter.feed(chunk);
	});
	const {user, system} = process.cpuUsage(before);
	this.processorMs = (user + system) / 1000;
});

Then('processing it has taken less than {int} ms of processor time', function (this: FramerWorld, maxMs: number) {
	assert.ok(this.processorMs < maxMs, `${this.processorMs} ms`);
});
