/**
Starts the fronts and keepers of the deploy file as separate processes on loopback, with the settings that the templates give for a small deployment, and sends clients' calls to them.
*/
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {Replica} from './replica.js';
import {Store} from './store.js';

const root = path.resolve(import.meta.dirname, '../..');

export const host = 'boards.example';
export const isTroubled = process.env.TROUBLE !== '0';

/** The bounds of the sheet of Tyrewatch Bengal, the smallest deployment. */
export const bounds = {
	seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4.6, drainMs: 2000, graceS: 8, lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, recoveryS: 12, passMs: 120, retryAfterS: 0, finishS: 18, statusS: 120, cancelMs: 3000, settleMs: 1000, quotaOverage: 0.1,
};

const contracts = ['base', 'drain', 'config', 'cost', 'recover', 'batch', 'stream', 'engine', 'platform'];

const zones = ['hall-a', 'hall-b', 'hall-c'];

/** The routes of the sheet: a batch route of the engines, and a stream route. */
export const batchRoute = {
	name: 'notes', hostname: host, pathPrefix: '/notes/', kind: 'batch', timeoutMs: 15_000, sloMs: 500, maxAttempts: 3, deadlineMs: 18_000, maxQueueS: 60, cap: 2_300_000, priority: 2, resumable: true, sticky: true, service: 'engines',
};
export const streamRoute = {
	name: 'alert', hostname: host, pathPrefix: '/alert/', kind: 'stream', timeoutMs: 5000, sloMs: 300, maxAttempts: 2, priority: 0, resumable: true, sticky: true, gapTargetMs: 200, service: 'engines',
};
export const deskRoute = {
	name: 'lookup', hostname: host, pathPrefix: '/lookup/', kind: 'safe', timeoutMs: 4000, sloMs: 386, maxAttempts: 2, priority: 1, service: 'desk',
};

export const configOf = (version, routes) => ({
	version,
	routes,
	services: [{name: 'engines', healthPath: '/healthz', maxConns: 150}, {name: 'desk', healthPath: '/healthz', maxConns: 96}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 10_000,
	},
});

const valueOf = (fields, name) => name.split('.').reduce((value, key) => value?.[key], fields);

/** Fills a template as the deploy pages say; only the forms that the project's templates use. */
const render = (template, fields) => template
	.replaceAll(/\{\{#(?<name>[\w.]+)\}\}(?<inner>[\s\S]*?)\{\{\/\k<name>\}\}/gv, (_, name, inner) => valueOf(fields, name) ? inner : '')
	.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/gv, (_, name, isJson) => {
		const value = valueOf(fields, name);
		return isJson ? JSON.stringify(value ?? null) : String(value ?? '');
	});

/** The `run` line and the template of a role in the deploy file. */
const roleOf = role => {
	const section = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').split(`[roles.${role}]`)[1].split('\n[')[0];
	const field = name => new RegExp(`^${name} = "(.*)"$`, 'mv').exec(section)[1];
	return {command: field('run').split(' '), template: readFileSync(path.join(root, field('template')), 'utf8')};
};

/** Below the ports that the system gives to outgoing connections, so that none of these takes a port between its choice and its use. */
const firstPort = 15_000;
const portCount = 16_000;
const chosenPorts = new Set();

const isFree = async port => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, '127.0.0.1', () => {
		server.close(() => {
			resolve(true);
		});
	});
});

const freePort = async () => {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (!chosenPorts.has(port) && await isFree(port)) {
			chosenPorts.add(port);
			return port;
		}
	}
};

const freePorts = async count => Promise.all(Array.from({length: count}, async () => freePort()));

export class Fleet {
	store = new Store();
	replicas = [];
	/** Replicas of the plain service. */
	desks = [];
	fronts = new Map();
	/** How often each front has ended by itself. */
	ownEnds = new Map();
	#processes = new Map();
	#settings = new Map();
	#restartDelayMs;
	#isDisposed = false;
	#dir = mkdtempSync(path.join(tmpdir(), 'citronyard-review-'));
	#record;
	#startedAt = performance.now();

	/** @param recordFile - The file that {@link note} writes to. */
	constructor(recordFile) {
		this.#record = createWriteStream(recordFile);
		// The time limit of the script has passed.
		process.once('SIGTERM', () => {
			this.#killAll();
			rmSync(this.#dir, {recursive: true, force: true});
			process.kill(process.pid, 'SIGKILL');
		});
	}

	/** Milliseconds since the start. */
	get now() {
		return Math.round(performance.now() - this.#startedAt);
	}

	/** Adds a line to the record. */
	note(line) {
		this.#record.write(`${String(this.now).padStart(6)} ms  ${line}\n`);
	}

	/** Starts the store, the replicas, and then three fronts and three keepers, one of each in a zone. */
	async start({routes, replicas = 2, slots = 8, events = 171, gapMs = 30, dataOf, desks = []}) {
		this.storeAddress = await this.store.listen();
		for (let i = 1; i <= replicas; i += 1) {
			const replica = await new Replica({
				id: `i-${i}`, service: 'engines', zone: zones[(i - 1) % zones.length], slots, events, gapMs, dataOf, onRun: this.#noteRun(`i-${i}`),
			}).listen();
			this.replicas.push(replica);
			this.store.write('servers', `i-${i}`, replica.entry);
		}

		for (const [i, options] of desks.entries()) {
			const desk = await new Replica({
				id: `d-${i + 1}`, service: 'desk', zone: zones[i % zones.length], slots: 6, workMs: 85, onRun: this.#noteRun(`d-${i + 1}`), ...options,
			}).listen();
			this.desks.push(desk);
			this.store.write('servers', `d-${i + 1}`, desk.entry);
		}

		this.store.write('config', 'main', configOf(1, routes));
		for (const zone of zones) {
			await this.startFront(`front-${zone}`, zone);
			await this.#startKeeper(`keeper-${zone}`, zone);
		}

		await this.until('all fronts are ready', async () => {
			const answers = await Promise.all([...this.fronts.values()].map(async ({ready}) => call(ready, {method: 'GET', path: '/citronyard/readyz'})));
			return answers.every(({status}) => status === 200);
		}, 15_000);
		// The fronts receive each other's and the keepers' addresses.
		await pause(2500);
		this.note('fronts and keepers are ready');
	}

	async startFront(name, zone) {
		const [listen, ready, peer, metrics] = await freePorts(4);
		this.fronts.set(name, {listen: `127.0.0.1:${listen}`, ready: `127.0.0.1:${ready}`});
		this.#settings.set(name, {
			...this.#fields(name, zone), listen: {front: `127.0.0.1:${listen}`, ready: `127.0.0.1:${ready}`}, portRange: [peer, metrics],
		});
		this.#spawn('front', name, this.#settings.get(name));
	}

	/** Restarts each front that ends by itself after a short delay, as the platform does. */
	keepFrontsRunning(delayMs) {
		this.#restartDelayMs = delayMs;
	}

	/** Sends a signal to a process that this fleet has started. */
	signal(name, signal) {
		this.#processes.get(name)?.kill(signal);
	}

	async until(what, isMet, limitMs) {
		const end = performance.now() + limitMs;
		while (performance.now() < end) {
			if (await isMet()) {
				return;
			}

			await pause(50);
		}

		throw new Error(`not met in ${limitMs} ms: ${what}`);
	}

	/** Sends a client's call to a front, and records it. */
	async call(front, request) {
		const sentAt = this.now;
		const answer = await call(this.fronts.get(front).listen, request);
		this.note(`${front}: ${request.method ?? 'POST'} ${request.path} (id ${request.id ?? '-'}), sent at ${sentAt} ms: ${answer.status || answer.reason}${request.showsBody ? ` ${answer.body.slice(0, 300)}` : ''}`);
		return answer;
	}

	/** The names of the fronts, in the order of their start. */
	get names() {
		return [...this.fronts.keys()];
	}

	async dispose() {
		this.#isDisposed = true;
		this.#killAll();
		await Promise.all([...this.#processes.values()].map(async child => child.exitCode === null && child.signalCode === null
			? new Promise(resolve => {
				child.once('exit', resolve);
			})
			: undefined));
		[...this.replicas, ...this.desks].forEach(replica => {
			replica.dispose();
		});
		this.store.dispose();
		rmSync(this.#dir, {recursive: true, force: true});
		await new Promise(resolve => {
			this.#record.end(resolve);
		});
	}

	#killAll() {
		this.#processes.forEach(child => {
			child.kill('SIGKILL');
		});
	}

	#noteRun(replica) {
		return ({request, after}) => {
			this.note(`replica ${replica} runs ${request}${after > 0 ? ` after event ${after}` : ''}`);
		};
	}

	async #startKeeper(name, zone) {
		const [peer, metrics] = await freePorts(2);
		const dataFolder = path.join(this.#dir, name);
		mkdirSync(dataFolder);
		this.#spawn('keeper', name, {...this.#fields(name, zone), dataDir: dataFolder, portRange: [peer, metrics]});
	}

	#fields(name, zone) {
		return {
			nodeName: name, zone, ip: '127.0.0.1', contracts, bounds, faultTolerance: {machines: 1, zones: 0, regions: 0}, provider: {
				address: this.storeAddress, form: 'objects', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, ttlMinMs: 1000,
			},
		};
	}

	#spawn(role, name, fields) {
		const {command, template} = roleOf(role);
		const settings = path.join(this.#dir, `${name}.jsonc`);
		writeFileSync(settings, render(template, fields));
		const [program, ...args] = command.map(word => word === '/etc/citronyard/settings.json' ? settings : word);
		const child = spawn(program, args, {cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME}});
		const log = createWriteStream(path.join(this.#dir, `${name}.log`));
		child.stdout.pipe(process.env.KEEP_LOGS ? createWriteStream(path.join(process.env.KEEP_LOGS, `${name}.log`)) : log);
		child.stderr.pipe(log);
		child.once('exit', (code, signal) => {
			this.note(`${name} has ended (${signal ?? code})`);
			if (this.#restartDelayMs !== undefined && !this.#isDisposed && signal === null) {
				this.ownEnds.set(name, (this.ownEnds.get(name) ?? 0) + 1);
				setTimeout(() => {
					if (!this.#isDisposed) {
						this.#spawn(role, name, fields);
					}
				}, this.#restartDelayMs);
			}
		});
		this.#processes.set(name, child);
	}
}

/** Sends a call, on a new connection unless an agent is given. Status 0: no answer. */
export const call = async (address, {method = 'POST', path: target, id, headers = {}, body = '', timeoutMs = 4000, agent = false}) => new Promise(resolve => {
	const req = request(`http://${address}${target}`, {
		method, agent, headers: {host, ...(id && {'x-citronyard-request-id': id}), ...headers},
	}, res => {
		const chunks = [];
		res.on('data', chunk => {
			chunks.push(chunk);
		});
		res.once('error', () => undefined);
		res.once('close', () => {
			clearTimeout(timer);
			resolve({
				status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString('utf8'), isComplete: res.complete,
			});
		});
	});
	const timer = setTimeout(() => {
		req.destroy(new Error('the client has waited long enough'));
	}, timeoutMs);
	req.once('error', err => {
		clearTimeout(timer);
		resolve({
			status: 0, headers: {}, body: '', isComplete: false, reason: err.message,
		});
	});
	req.end(body);
});

/** The body of a batch job. */
export const jobBody = (job, {items, tokens}) => JSON.stringify({
	items: Array.from({length: items}, (_, i) => ({
		id: `${job}${String(i).padStart(4, '0')}`, path: `/notes/${job}/${i}`, headers: {'X-Citronyard-Model': 'm', 'X-Citronyard-Token-Usage': `${Math.round(tokens * 0.2)},${Math.round(tokens * 0.8)}`}, body: Buffer.from(`prompt ${i} of ${job}`).toString('base64'), tokens,
	})),
});

/** Submits a batch job. */
export const submission = (job, size) => ({
	path: `/notes/${job}`, id: job, headers: {'content-type': 'application/json'}, body: jobBody(job, size),
});

/** Reads results. */
export const results = (job, after = 0) => ({method: 'GET', path: `/citronyard/lots/${job}?after=${after}`, headers: {'x-citronyard-wait-ms': '1000'}});

/**
Runs a case and sets the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

@param main - Returns the violations, as texts.
*/
export const runCase = async (dir, main) => {
	const fleet = new Fleet(path.join(dir, 'record.txt'));
	process.exitCode = 2;
	try {
		fleet.note(isTroubled ? 'with the disruption' : 'without the disruption');
		const violations = await main(fleet);
		violations.forEach(violation => {
			fleet.note(`BROKEN: ${violation}`);
			process.stdout.write(`${violation}\n`);
		});
		fleet.note(violations.length > 0 ? 'the rule was broken' : 'the rule held');
		process.exitCode = violations.length > 0 ? 1 : 0;
	} catch (err) {
		fleet.note(`could not run: ${err.stack}`);
		process.stderr.write(`${err.stack}\n`);
	}

	await fleet.dispose();
};
