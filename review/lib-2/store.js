/**
A stand-in for the platform's metadata store: objects by kind and name, conditional changes, lists and watches. It loses nothing, answers at once, and its answers are always current.
*/
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const historyLength = 20_000;
const longestWaitMs = 30_000;
const objectsPath = '/citronyard/objects/';

const send = (res, status, body) => {
	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
};

const readJson = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

const shown = ({name, revision, createRevision, finalizers, spec, status}) => ({
	metadata: {
		name, revision, createRevision, finalizers, deleting: false,
	}, spec, status,
});

/** The store. `listen` resolves with its address. */
export class Store {
	#revision = 0;
	#kinds = new Map();
	#history = [];
	#waiting = new Set();
	#server = createServer((req, res) => {
		this.#serve(req, res).catch(() => {
			res.destroy();
		});
	});

	/** @param port - A free port of 127.0.0.1. */
	async listen(port) {
		await new Promise(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${port}`;
	}

	/** Writes an object as the operator and the replicas do. */
	write(kind, name, spec) {
		this.#put(kind, name, {spec});
	}

	/** All objects of a kind. */
	all(kind) {
		return [...this.#objects(kind).values()];
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#objects(kind) {
		if (!this.#kinds.has(kind)) {
			this.#kinds.set(kind, new Map());
		}

		return this.#kinds.get(kind);
	}

	#put(kind, name, change) {
		const before = this.#objects(kind).get(name);
		const after = {
			name, createRevision: this.#revision + 1, finalizers: [], spec: null, status: null, ...before, ...change,
		};
		const isSame = before && JSON.stringify([before.spec, before.status, before.finalizers]) === JSON.stringify([after.spec, after.status, after.finalizers]);
		if (isSame) {
			return before;
		}

		this.#revision += 1;
		after.revision = this.#revision;
		this.#objects(kind).set(name, after);
		this.#note(kind, after, false);
		return after;
	}

	#remove(kind, name) {
		const before = this.#objects(kind).get(name);
		this.#revision += 1;
		this.#objects(kind).delete(name);
		this.#note(kind, {...before, revision: this.#revision}, true);
		return before;
	}

	#note(kind, object, removed) {
		this.#history.push({kind, object, removed});
		this.#history = this.#history.slice(-historyLength);
		[...this.#waiting].filter(waiter => waiter.kind === kind).forEach(({answer}) => {
			answer();
		});
	}

	async #serve(req, res) {
		const url = new URL(req.url, 'http://store');
		const [kind, name, part] = url.pathname.slice(objectsPath.length).split('/').map(text => decodeURIComponent(text));
		const body = req.method === 'GET' || req.method === 'DELETE' ? {} : await readJson(req);
		const handlers = {
			GET: () => this.#read(kind, name, url.searchParams, res),
			POST: () => this.#create(kind, body, res),
			PUT: () => this.#replace({kind, name, revision: body.metadata?.revision}, part === 'status' ? {status: body.status ?? null} : {spec: body.spec ?? null, finalizers: body.metadata?.finalizers ?? []}, res),
			DELETE: () => this.#delete(kind, name, url.searchParams.get('revision'), res),
		};
		handlers[req.method]();
	}

	#read(kind, name, params, res) {
		if (name !== undefined) {
			const found = this.#objects(kind).get(name);
			send(res, found ? 200 : 404, found ? shown(found) : {});
			return;
		}

		if (params.has('watch')) {
			this.#watch(kind, params, res);
			return;
		}

		const sorted = this.all(kind).filter(object => object.name > (params.get('after') ?? '')).toSorted((a, b) => a.name < b.name ? -1 : 1);
		send(res, 200, {items: sorted.slice(0, 500).map(object => shown(object)), morePages: sorted.length > 500, storeRevision: this.#revision});
	}

	#watch(kind, params, res) {
		const since = Number(params.get('watch'));
		const changes = () => this.#history.filter(change => change.kind === kind && change.object.revision > since);
		const waiter = {kind};
		const timer = setTimeout(() => {
			waiter.answer();
		}, Math.min(longestWaitMs, Number(params.get('waitMs') ?? 0)));
		waiter.answer = () => {
			clearTimeout(timer);
			this.#waiting.delete(waiter);
			send(res, 200, {events: changes().map(({object, removed}) => ({object: shown(object), removed})), storeRevision: this.#revision});
		};

		res.once('close', () => {
			clearTimeout(timer);
			this.#waiting.delete(waiter);
		});
		if (changes().length > 0) {
			waiter.answer();
		} else {
			this.#waiting.add(waiter);
		}
	}

	#create(kind, {metadata, spec}, res) {
		const existing = this.#objects(kind).get(metadata.name);
		if (existing) {
			send(res, 409, shown(existing));
			return;
		}

		send(res, 201, shown(this.#put(kind, metadata.name, {spec: spec ?? null, finalizers: metadata.finalizers ?? []})));
	}

	#replace({kind, name, revision}, change, res) {
		const existing = this.#objects(kind).get(name);
		if (!existing) {
			send(res, 404, {});
			return;
		}

		if (revision !== undefined && revision !== existing.revision) {
			send(res, 409, shown(existing));
			return;
		}

		send(res, 200, shown(this.#put(kind, name, change)));
	}

	#delete(kind, name, revision, res) {
		const existing = this.#objects(kind).get(name);
		if (!existing) {
			send(res, 404, {});
			return;
		}

		if (revision !== null && Number(revision) !== existing.revision) {
			send(res, 409, shown(existing));
			return;
		}

		send(res, 200, shown(this.#remove(kind, name)));
	}
}
