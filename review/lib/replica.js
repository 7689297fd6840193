/**
A stand-in for a replica, as the pages describe it: it runs as many requests as it has slots, queues a few more, streams numbered events, resumes after `Last-Event-Id`, and drops a request when its connection closes. A replica of a plain service answers after some work instead.
*/
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';

const queueLength = 24;

export class Replica {
	/** All requests that reached it. */
	runs = [];
	/** How many requests it runs now. */
	running = 0;
	#queue = [];
	#options;
	#server = createServer((req, res) => {
		this.#serve(req, res).catch(() => {
			res.destroy();
		});
	});

	/** @param options - `id`, `service`, `zone`, `slots`, `events` of a stream, `gapMs` between them, and `onRun`. A plain service has `workMs` and, for each run, `extraHeaders`. `dataOf` gives the data of an event. */
	constructor(options) {
		this.#options = options;
	}

	async listen() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.#server.address().port}`;
		return this;
	}

	/** What it writes to the store about itself. */
	get entry() {
		const {service, zone, slots} = this.#options;
		return {
			service, address: this.address, zone, version: 'v1', slots, state: 'ready', coldMs: 0, seq: 1,
		};
	}

	dispose() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(req, res) {
		const {id, slots, service} = this.#options;
		req.resume();
		if (req.method === 'GET' && req.url === '/healthz') {
			res.writeHead(200, {'content-length': '0', 'x-citronyard-instance-id': id});
			res.end();
			return;
		}

		const request = req.headers['x-citronyard-request-id'];
		const head = {'x-citronyard-request-id': request, 'x-citronyard-response-stamp': `stamp-${id}`, 'x-citronyard-weights-version': '1'};
		const refuse = status => {
			res.writeHead(status, {...head, 'x-citronyard-not-executed': '1', 'content-length': '0'});
			res.end();
		};

		if ((req.headers['x-citronyard-expect-instance'] ?? id) !== id) {
			refuse(421);
			return;
		}

		const run = {
			request, service, replica: id, path: req.url, after: Number(req.headers['last-event-id'] ?? 0), reachedAt: performance.now(), ranAt: undefined, events: 0, ended: false,
		};
		let hasLeft = false;
		res.once('close', () => {
			hasLeft = true;
		});
		if (this.running >= slots) {
			if (this.#queue.length >= queueLength) {
				refuse(503);
				return;
			}

			await new Promise(resolve => {
				this.#queue.push(resolve);
			});
		}

		this.runs.push(run);
		if (hasLeft) {
			this.#queue.shift()?.();
			return;
		}

		this.running += 1;
		run.ranAt = performance.now();
		this.#options.onRun?.(run);
		await (this.#options.workMs === undefined ? this.#stream(res, head, run, () => hasLeft) : this.#answer(res, head, run));
		this.running -= 1;
		this.#queue.shift()?.();
	}

	async #answer(res, head, run) {
		const {workMs, extraHeaders = () => ({})} = this.#options;
		await pause(workMs);
		const body = Buffer.from(`answer to ${run.request}`);
		res.writeHead(200, {
			...head, ...extraHeaders(run), 'content-type': 'text/plain', 'content-length': String(body.length),
		});
		res.end(body);
		run.ended = true;
	}

	async #stream(res, head, run, hasLeft) {
		const {events, gapMs, dataOf = ({request}, event) => `${request} says ${event}`} = this.#options;
		res.writeHead(200, {...head, 'content-type': 'text/event-stream'});
		for (let event = run.after + 1; event <= events && !hasLeft(); event += 1) {
			await pause(gapMs);
			if (!hasLeft()) {
				res.write(`id: ${event}\ndata: ${dataOf(run, event)}\n\n`);
				run.events += 1;
			}
		}

		run.ended = !hasLeft();
		res.end();
	}
}
