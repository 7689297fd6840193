/**
A process of callers that each open a connection, send a request on it, and wait for the answer or the end of the connection. It is told a {@link ConnectingCallers} and reports a list of {@link EndedCaller}.
*/
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';

/** What the callers do. */
export type ConnectingCallers = {
	readonly port: number;
	readonly number: number;
	/** Between two callers, in milliseconds. */
	readonly gapMs: number;
};

/** How a caller ended. */
export type EndedCaller = {readonly isAnswered: boolean; readonly elapsedMs: number};

const callOnce = async (port: number): Promise<EndedCaller> => new Promise(resolve => {
	const startedAt = performance.now();
	let isAnswered = false;
	const socket = connect(port, '127.0.0.1', () => {
		socket.write('GET / HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n');
	});
	socket.on('data', () => {
		isAnswered = true;
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		resolve({isAnswered, elapsedMs: performance.now() - startedAt});
	});
});

process.once('message', ({port, number, gapMs}: ConnectingCallers) => {
	void Promise.all(Array.from({length: number}, async (_, i) => {
		await pause(i * gapMs);
		return callOnce(port);
	})).then(ended => {
		process.send!(ended);
	});
});
process.once('disconnect', () => {
	process.exit(0);
});
process.send!('ready');
