/**
A stand-in for a replica that is sound: it checks the instance that a request expects, and answers each request whole.

Under `/desk/` an answer is a text with its length. Elsewhere it is a short stream of events with neither a length nor chunks, which ends with its connection.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {wholeAnswer} from './answer-parts.js';

/** A replica on 127.0.0.1. */
export class Replica {
	/** Ids of the requests that began to run. */
	runs = new Set();
	/** Ids of the requests that were answered whole. */
	answered = new Set();
	#options;
	#server = createServer((req, res) => {
		res.on('error', () => undefined);
		this.#serve(req, res).catch(() => {
			res.destroy();
		});
	});

	/** @param options - `id`; `parts`, the number of events or lines of each answer; `deskMs` and `streamMs`, the time until a text or a stream is sent. */
	constructor(options) {
		this.#options = options;
	}

	async listen(port) {
		await new Promise(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(req, res) {
		const {
			id: instance, parts, deskMs, streamMs,
		} = this.#options;
		req.resume();
		await once(req, 'end');
		const id = req.headers['x-citronyard-request-id'];
		const head = {'x-citronyard-request-id': id, 'x-citronyard-response-stamp': `stamp.${instance}`};
		const expected = req.headers['x-citronyard-expect-instance'];
		if (expected !== undefined && expected !== instance) {
			res.writeHead(421, {...head, 'x-citronyard-not-executed': '1', 'content-length': '0'}).end();
			return;
		}

		this.runs.add(id);
		const isText = req.url.startsWith('/desk/');
		await pause(isText ? deskMs : streamMs);
		const answer = wholeAnswer(req.url, id, parts);
		if (isText) {
			res.writeHead(200, {...head, 'content-type': 'text/plain', 'content-length': Buffer.byteLength(answer)});
		} else {
			res.useChunkedEncodingByDefault = false;
			res.writeHead(200, {...head, 'content-type': 'text/event-stream', connection: 'close'});
		}

		res.end(answer);
		this.answered.add(id);
	}
}
