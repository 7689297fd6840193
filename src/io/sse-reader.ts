/**
Reads an event stream and notices when its connection has gone silent. Heartbeats of the sender arrive several times a second; TCP alone would not tell for minutes.

Silence is counted in steps, each of which ends when the sockets have been read: after a pause of this process timers come before sockets, and what was sent meanwhile may still be on its way through them. A pause counts as one step, however long it was.
*/
import type {Readable} from 'node:stream';
import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** How a stream ended. Only `ended` came from the sender; `broken` says that an event could not be used. */
export type StreamEnd = 'ended' | 'silent' | 'lost' | 'broken';

/** Takes one event; `false` gives the stream up as broken. */
export type EventHandler = (event: EventSourceMessage) => unknown;

/** Asked after each piece that came: a promise when nothing more may be read until it resolves. */
export type StreamPause = () => Promise<void> | undefined;

const stepsOfSilence = 4;

/**
Feeds each event of a stream to `onEvent` until the stream ends.

@param silenceMs - Milliseconds without a byte after which the stream is given up and destroyed; 0 waits for ever.
@returns How it ended. Never rejects.
*/
export const followEvents = async (body: Readable, silenceMs: number, onEvent: EventHandler, pause?: StreamPause): Promise<StreamEnd> => new Promise(resolve => {
	let silentSteps = 0;
	let isOver = false;
	const step = () => {
		silentSteps = body.isPaused() ? 0 : silentSteps + 1;
		// The first step may have begun long before the last byte came.
		if (!isOver && silentSteps > stepsOfSilence) {
			finish('silent');
		}
	};

	const watch = silenceMs > 0
		? setInterval(() => {
			setImmediate(step);
		}, silenceMs / stepsOfSilence)
		: undefined;
	const finish = (end: StreamEnd) => {
		// What a given-up stream still delivers must not mix with what its successor brings.
		isOver = true;
		clearInterval(watch);
		resolve(end);
		body.destroy();
	};

	const parser = createParser({
		onEvent(event) {
			if (!isOver && onEvent(event) === false) {
				finish('broken');
			}
		},
	});
	// While its reader can take no more, the stream stands still instead of filling this process's memory; the pause does not count as silence.
	const standStill = async (resumed: Promise<void>) => {
		body.pause();
		await resumed;
		silentSteps = 0;
		body.resume();
	};

	const decoder = new TextDecoder();
	body.on('data', (bytes: Uint8Array) => {
		silentSteps = 0;
		parser.feed(decoder.decode(bytes, {stream: true}));
		const resumed = pause?.();
		if (resumed && !isOver) {
			void standStill(resumed);
		}
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
