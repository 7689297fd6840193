/**
Reads an event stream and detects an unresponsive connection. The sender emits heartbeats several times a second, so a missing byte is noticed quickly; TCP alone would not report the failure for minutes.

Idle time is counted in steps, each of which ends only after the sockets have been read: after a pause of this process, timers run before sockets, and data that arrived meanwhile may still be unread. A pause therefore counts as one step, whatever its length.
*/
import type {Readable} from 'node:stream';
import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** How a stream ended. `ended`: closed by the sender. `silent`: no data within the time limit. `lost`: the connection failed. `broken`: an event was rejected by the handler. */
export type StreamEnd = 'ended' | 'silent' | 'lost' | 'broken';

/** Handles one event; returning `false` aborts the stream as `broken`. */
export type EventHandler = (event: EventSourceMessage) => unknown;

/** Called after each chunk; returns a promise when reading must pause until it resolves. */
export type StreamPause = () => Promise<void> | undefined;

const maxIdleSteps = 4;

/**
Passes each event of a stream to `onEvent` until the stream ends.

@param idleTimeoutMs - Milliseconds without a byte after which the stream is destroyed; 0 disables the limit.
@returns How the stream ended. Never rejects.
*/
export const followEvents = async (body: Readable, idleTimeoutMs: number, onEvent: EventHandler, pause?: StreamPause): Promise<StreamEnd> => new Promise(resolve => {
	let idleSteps = 0;
	let hasEnded = false;
	const countIdleStep = () => {
		idleSteps = body.isPaused() ? 0 : idleSteps + 1;
		// The first step may have started long before the last byte arrived, so it is not counted.
		if (!hasEnded && idleSteps > maxIdleSteps) {
			finish('silent');
		}
	};

	const idleTimer = idleTimeoutMs > 0
		? setInterval(() => {
			setImmediate(countIdleStep);
		}, idleTimeoutMs / maxIdleSteps)
		: undefined;
	const finish = (end: StreamEnd) => {
		// Events that an aborted stream still delivers must not mix with those of its replacement.
		hasEnded = true;
		clearInterval(idleTimer);
		resolve(end);
		body.destroy();
	};

	const parser = createParser({
		onEvent(event) {
			if (!hasEnded && onEvent(event) === false) {
				finish('broken');
			}
		},
	});
	// Backpressure: while the consumer cannot accept more, the stream is paused instead of being buffered in memory. The pause does not count as idle time.
	const pauseUntil = async (resumed: Promise<void>) => {
		body.pause();
		await resumed;
		idleSteps = 0;
		body.resume();
	};

	const decoder = new TextDecoder();
	body.on('data', (bytes: Uint8Array) => {
		idleSteps = 0;
		parser.feed(decoder.decode(bytes, {stream: true}));
		const resumed = pause?.();
		if (resumed && !hasEnded) {
			void pauseUntil(resumed);
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
