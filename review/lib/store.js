/**
A stand-in for the platform's metadata store, as the pages describe it: objects by kind and name, lists, watches, conditional changes, one revision counter. It can be slow, lose the answer of a write, and answer serializable reads from a copy that is some seconds old.
*/
import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as pause} from 'node:timers/promises';

const pageLength = 500;

/** The sheet states 4 ms for an answer. */
const usualAnswerMs = 4;

export class Store {
	/** Milliseconds until an answer; the change itself is made when the call arrives. */
	answerMs = usualAnswerMs;
	/** Milliseconds by which serializable reads may be behind. */
	staleMs = 0;
	/** Milliseconds after which a write without an answer is made, or `undefined` for a write that is answered. */
	loseWrite = () => undefined;
	/** Called with each call, before it is answered. */
	onCall = () => undefined;
	#revision = 100;
	/** All changes in order; each holds the object after the change. */
	#changes = [];
	#objects = new Map();
	#waiting = new Set();
	#server = createServer((req, res) => {
		this.#serve(req, res).catch(err => {
			res.destroy(err);
		});
	});

	async listen() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${this.#server.address().port}`;
	}

	/** Writes as the operator or a replica does. */
	write(kind, name, spec) {
		return this.#put(kind, name, {spec, status: this.#objects.get(`${kind}/${name}`)?.status});
	}

	/** All objects of a kind. */
	all(kind) {
		return [...this.#objects.values()].filter(object => object.kind === kind);
	}

	dispose() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#put(kind, name, content) {
		const key = `${kind}/${name}`;
		const before = this.#objects.get(key);
		this.#revision += 1;
		const object = {
			kind, name, revision: this.#revision, createRevision: before?.createRevision ?? this.#revision, ...content,
		};
		this.#objects.set(key, object);
		this.#record({object, removed: false});
		return object;
	}

	#record(change) {
		this.#changes.push({...change, revision: this.#revision, at: performance.now()});
		this.#waiting.forEach(wake => {
			wake();
		});
	}

	async #serve(req, res) {
		const url = new URL(req.url, 'http://store');
		const [kind, encodedName, part] = url.pathname.split('/').slice(3);
		const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
		const body = req.method === 'GET' ? undefined : JSON.parse(await text(req) || '{}');
		this.onCall({
			method: req.method, kind, name: name ?? body?.metadata?.name, query: url.search,
		});
		const apply = () => this.#change(req.method, {
			kind, name: name ?? body?.metadata?.name, part, body, expected: url.searchParams.get('revision') ?? body?.metadata?.revision,
		});
		if (req.method !== 'GET') {
			const lateMs = this.loseWrite({method: req.method, kind, name: name ?? body?.metadata?.name});
			if (lateMs !== undefined) {
				// The connection returns nothing further.
				setTimeout(apply, lateMs);
				return;
			}

			await this.#answer(res, apply());
			return;
		}

		const asOf = url.searchParams.get('serializable') === '1' ? this.staleMs : 0;
		if (url.searchParams.has('watch')) {
			await this.#watch(req, res, {
				kind, since: Number(url.searchParams.get('watch')), waitMs: Number(url.searchParams.get('waitMs') ?? 0), asOf,
			});
			return;
		}

		await this.#answer(res, name === undefined ? this.#list(kind, url.searchParams.get('after') ?? '') : this.#get(kind, name, asOf));
	}

	async #answer(res, [status, value]) {
		await pause(this.answerMs);
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(value));
	}

	#change(method, {kind, name, part, body, expected}) {
		const before = this.#objects.get(`${kind}/${name}`);
		if (method === 'POST') {
			return before ? [409, this.#shown(before)] : [201, this.#shown(this.#put(kind, name, {spec: body.spec}))];
		}

		if (!before) {
			return [404, {}];
		}

		if (expected !== undefined && expected !== null && Number(expected) !== before.revision) {
			return [409, this.#shown(before)];
		}

		if (method === 'DELETE') {
			this.#objects.delete(`${kind}/${name}`);
			this.#revision += 1;
			this.#record({object: before, removed: true});
			return [200, this.#shown(before)];
		}

		return [200, this.#shown(this.#put(kind, name, part === 'status' ? {spec: before.spec, status: body.status} : {spec: body.spec, status: before.status}))];
	}

	#shown({name, revision, createRevision, spec, status}) {
		return {
			metadata: {
				name, revision, createRevision, finalizers: [], deleting: false,
			}, spec, status: status ?? null,
		};
	}

	#get(kind, name, asOf) {
		const until = performance.now() - asOf;
		const last = this.#changes.findLast(({object, at}) => object.kind === kind && object.name === name && at <= until);
		return last && !last.removed ? [200, this.#shown(last.object)] : [404, {}];
	}

	#list(kind, after) {
		const found = this.all(kind).filter(({name}) => name > after).toSorted((a, b) => (a.name < b.name ? -1 : 1));
		return [200, {items: found.slice(0, pageLength).map(object => this.#shown(object)), morePages: found.length > pageLength, storeRevision: this.#revision}];
	}

	async #watch(req, res, {kind, since, waitMs, asOf}) {
		const startedAt = performance.now();
		let hasLeft = false;
		res.once('close', () => {
			hasLeft = true;
		});
		for (;;) {
			const until = performance.now() - asOf;
			const seen = this.#changes.filter(({at}) => at <= until);
			const events = seen.filter(({object, revision}) => object.kind === kind && revision > since);
			const leftMs = startedAt + waitMs - performance.now();
			if (events.length > 0 || leftMs <= 0 || hasLeft) {
				const revision = asOf > 0 ? Math.max(since, seen.at(-1)?.revision ?? 0) : this.#revision;
				await this.#answer(res, [200, {events: events.map(({object, removed, revision: at}) => ({object: this.#shown(removed ? {...object, revision: at} : object), removed})), storeRevision: revision}]);
				return;
			}

			await this.#nextChange(asOf > 0 ? Math.min(leftMs, 20) : leftMs);
		}
	}

	async #nextChange(ms) {
		await new Promise(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#waiting.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, ms);
			this.#waiting.add(finish);
		});
	}
}
