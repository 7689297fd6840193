/**
A stand-in for a model replica. It checks the instance that a request expects, serves `slots` requests at once and answers 503 as not executed beyond them, and streams numbered events, after `Last-Event-Id` if that is given.

In trouble it goes on after the last event of its answer: it sends bytes without end until the caller closes.
*/
import {createServer} from 'node:http';
import {once} from 'node:events';
import {setImmediate as immediate, setTimeout as pause} from 'node:timers/promises';

/** The data of one event of an item's text. */
export const dataOf = (id, event) => `${id} token ${event}`;

/** The whole text of an item, as its result has to hold it. */
export const wholeText = (id, events) => Array.from({length: events}, (_, i) => dataOf(id, i + 1)).join('\n');

const eventOf = (id, event) => `id: ${event}\ndata: ${dataOf(id, event)}\n\n`;

const burst = 50;

/** A replica on 127.0.0.1. */
export class Replica {
	/** Whether the replica is in trouble. */
	isInTrouble = false;
	/** One entry for each request that began to run. */
	runs = [];
	#options;
	#running = 0;
	#server = createServer((req, res) => {
		res.on('error', () => undefined);
		this.#serve(req, res).catch(() => {
			res.destroy();
		});
	});

	/** @param options - `id`; `events`, the number of events of each answer; `gapMs`, the time between two; `slots`. */
	constructor(options) {
		this.#options = options;
	}

	async listen(port) {
		await new Promise(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${port}`;
	}

	/** What the replica registers in the store. */
	registration(service) {
		const {slots} = this.#options;
		return {
			service, address: this.address, zone: 'hall-a', version: 'v1', slots, state: 'ready', coldMs: 0, seq: 1, born: Date.now(),
		};
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(req, res) {
		const {id: instance, slots} = this.#options;
		req.resume();
		await once(req, 'end');
		const id = req.headers['x-citronyard-request-id'];
		const expected = req.headers['x-citronyard-expect-instance'];
		if (expected !== undefined && expected !== instance) {
			res.writeHead(421, {'x-citronyard-request-id': id, 'x-citronyard-not-executed': '1', 'content-length': '0'}).end();
			return;
		}

		if (this.#running >= slots) {
			res.writeHead(503, {'x-citronyard-request-id': id, 'x-citronyard-not-executed': '1', 'content-length': '0'}).end();
			return;
		}

		await this.#run(id, Number(req.headers['last-event-id'] ?? 0), res);
	}

	async #run(id, after, res) {
		const {id: instance, events, gapMs} = this.#options;
		const run = {
			id, instance, after, sent: 0, outcome: 'broken off', isInTrouble: this.isInTrouble,
		};
		this.runs.push(run);
		this.#running += 1;
		res.once('close', () => {
			this.#running -= 1;
		});
		res.writeHead(200, {'content-type': 'text/event-stream', 'x-citronyard-request-id': id, 'x-citronyard-response-stamp': `stamp.${instance}`});
		for (let event = after + 1; event <= events && !res.destroyed; event += 1) {
			res.write(eventOf(id, event));
			run.sent += 1;
			await pause(gapMs);
		}

		if (run.isInTrouble) {
			await this.#goOn(run, res);
			return;
		}

		if (!res.destroyed) {
			run.outcome = 'complete';
			res.end();
		}
	}

	/** Sends bytes without end, as fast as the caller reads them. */
	async #goOn(run, res) {
		run.outcome = 'went on without end';
		let event = this.#options.events;
		while (!res.destroyed) {
			const isFlushed = res.write(Array.from({length: burst}, (_, i) => eventOf(run.id, event + i + 1)).join(''));
			event += burst;
			run.sent += burst;
			await (isFlushed ? immediate() : Promise.race([once(res, 'drain'), once(res, 'close')]));
		}
	}
}
