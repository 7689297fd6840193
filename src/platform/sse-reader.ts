/**
Reads an event stream and notices when its connection has gone silent. Heartbeats of the sender arrive several times a second; TCP alone would not tell for minutes.
*/
import type {Readable} from 'node:stream';
import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** How a stream ended. Only `ended` came from the sender. */
export type StreamEnd = 'ended' | 'silent' | 'lost';

/**
Feeds each event of a stream to `onEvent` until the stream ends.

@param silenceMs - Milliseconds without a byte after which the stream is given up and destroyed; 0 waits for ever.
@returns How it ended. Never rejects.
*/
export const followEvents = async (body: Readable, silenceMs: number, onEvent: (event: EventSourceMessage) => void): Promise<StreamEnd> => new Promise(resolve => {
	const parser = createParser({onEvent});
	const decoder = new TextDecoder();
	let heardAt = performance.now();
	const watch = silenceMs > 0
		? setInterval(() => {
			if (performance.now() - heardAt > silenceMs) {
				finish('silent');
			}
		}, silenceMs / 4)
		: undefined;
	const finish = (end: StreamEnd) => {
		clearInterval(watch);
		resolve(end);
		if (end === 'silent') {
			body.destroy();
		}
	};

	body.on('data', (bytes: Uint8Array) => {
		heardAt = performance.now();
		parser.feed(decoder.decode(bytes, {stream: true}));
	});
	body.once('end', () => {
		finish('ended');
	});
	body.once('error', () => {
		finish('lost');
	});
	body.once('close', () => {
		finish('lost');
	});
});
