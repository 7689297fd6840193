/**
Starts the project's own programs with the commands and settings templates of the deploy file, as the platform would for a small deployment on 127.0.0.1, and ends them again.
*/
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {request} from 'node:http';
import {createInterface} from 'node:readline';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';

const settingsPath = '/etc/citronyard/settings.json';

export const host = 'boards.example';

/** The bounds of the sheet of a small deployment. */
const bounds = {
	seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4.6, drainMs: 2000, graceS: 8, lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, recoveryS: 12, passMs: 120, retryAfterS: 0, finishS: 18, statusS: 120, cancelMs: 3000, settleMs: 1000, quotaOverage: 0.1,
};

/** @returns A port of 127.0.0.1 that nobody uses. */
export const freePort = async () => {
	const server = createServer();
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
};

const lookUp = (fields, name) => name.split('.').reduce((value, key) => value?.[key], fields);

/** Fills a template: values, values as JSON, and sections that appear once if their value is true. */
const filled = (template, fields) => template
	.replaceAll(/\{\{#(?<name>[\w.]+)\}\}(?<text>.*?)\{\{\/\k<name>\}\}/gsv, (...match) => {
		const {name, text} = match.at(-1);
		return lookUp(fields, name) ? text : '';
	})
	.replaceAll(/\{\{(?<name>[\w.]+)(?<json>\|json)?\}\}/gv, (...match) => {
		const {name, json} = match.at(-1);
		const value = lookUp(fields, name);
		return json ? JSON.stringify(value ?? null) : String(value ?? '');
	});

/** @returns The command and the template of a role. */
const roleOf = name => {
	const text = readFileSync('deploy/system.toml', 'utf8').split(`[roles.${name}]`, 2)[1].split('\n[', 1)[0];
	const valueOf = key => new RegExp(`^${key} = "(?<value>.*)"$`, 'mv').exec(text).groups.value;
	return {run: valueOf('run').split(' '), template: readFileSync(valueOf('template'), 'utf8')};
};

/** Calls a process over HTTP, on a new connection unless an agent is given. Status 0: the connection broke before an answer. */
export const call = async (address, {method = 'GET', target, headers = {}, body = '', agent = false}) => new Promise(resolve => {
	const req = request(`http://${address}${target}`, {
		method, agent, headers: {host, ...headers, 'content-length': Buffer.byteLength(body)},
	}, res => {
		const chunks = [];
		res.on('data', chunk => {
			chunks.push(chunk);
		});
		res.once('error', () => undefined);
		res.once('close', () => {
			resolve({
				status: res.statusCode, isComplete: res.complete, isReused: req.reusedSocket, text: Buffer.concat(chunks).toString('utf8'),
			});
		});
	});
	req.once('error', () => {
		resolve({
			status: 0, isComplete: false, isReused: req.reusedSocket, text: '',
		});
	});
	req.end(body);
});

/** The processes of one case, its temporary folder and its record. */
export class Fleet {
	#children = [];
	#replicas = [];
	#dir = mkdtempSync(path.join(tmpdir(), 'citronyard-review-'));
	#recordFile;
	#startedAt = performance.now();

	/** @param caseFolder - The folder of the case, in which `record.txt` is written. */
	constructor(caseFolder) {
		this.#recordFile = path.join(caseFolder, 'record.txt');
		writeFileSync(this.#recordFile, '');
	}

	/** Writes a line with its time, in seconds from the start. */
	record(line) {
		const text = `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${line}\n`;
		appendFileSync(this.#recordFile, text);
		process.stdout.write(text);
	}

	/** Starts a front or keeper. @returns Its addresses. */
	async start(role, name, storeAddress) {
		const [front, ready, peers, metrics] = [await freePort(), await freePort(), await freePort(), await freePort()];
		const dataFolder = path.join(this.#dir, name);
		mkdirSync(dataFolder);
		const {run, template} = roleOf(role);
		const settings = filled(template, {
			nodeName: name, zone: 'hall-a', ip: '127.0.0.1', portRange: [peers, metrics], listen: {front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`}, dataDir: dataFolder, provider: {address: storeAddress, valueBytes: 1_048_576}, faultTolerance: {machines: 1}, contracts: ['base', 'drain', 'config', 'cost', 'recover', 'batch', 'stream', 'engine', 'platform'], bounds,
		});
		const file = path.join(this.#dir, `${name}.jsonc`);
		writeFileSync(file, settings);
		const [program, ...args] = run.map(word => word === settingsPath ? file : word);
		const child = spawn(program, args, {env: {PATH: process.env.PATH, HOME: this.#dir, LANG: 'C'}, stdio: ['ignore', 'pipe', 'pipe']});
		const log = createWriteStream(path.join(this.#dir, `${name}.log`));
		child.stdout.pipe(log);
		child.stderr.pipe(log, {end: false});
		this.#children.push({name, child});
		this.record(`started ${name}, process ${child.pid}`);
		return {front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`};
	}

	/** Starts a replica as a process. @returns The process; `onLine` is called with each line that it writes. */
	async startReplica(options, onLine) {
		const child = spawn(process.execPath, [path.join(import.meta.dirname, 'crashing-replica.js'), JSON.stringify(options)], {stdio: ['ignore', 'pipe', 'inherit']});
		const ended = once(child, 'exit');
		this.#replicas.push({child, ended});
		const lines = createInterface({input: child.stdout});
		lines.on('line', onLine);
		await once(lines, 'line');
		this.record(`started replica ${options.id}, process ${child.pid}`);
		return child;
	}

	/** Sends a signal to a front or keeper. */
	signal(name, signal) {
		this.#children.find(one => one.name === name).child.kill(signal);
		this.record(`${signal} to ${name}`);
	}

	/** Waits until a front says that it is ready. */
	async untilReady({ready}, limitMs = 15_000) {
		const startedAt = performance.now();
		while (performance.now() - startedAt < limitMs) {
			const {status} = await call(ready, {target: '/citronyard/readyz'});
			if (status === 200) {
				return;
			}

			await pause(100);
		}

		throw new Error('a front did not become ready');
	}

	/** Whether a process that was started has ended by itself. */
	get hasLostProcess() {
		return this.#children.some(({child}) => child.exitCode !== null || child.signalCode !== null);
	}

	/** The exit code of a front or keeper; `null` while it runs, and after a signal. */
	exitCodeOf(name) {
		return this.#children.find(one => one.name === name).child.exitCode;
	}

	/** What a process has logged. */
	logOf(name) {
		return readFileSync(path.join(this.#dir, `${name}.log`), 'utf8');
	}

	async dispose() {
		await Promise.all([...this.#children, ...this.#replicas].map(async ({child}) => {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}));
		rmSync(this.#dir, {recursive: true, force: true});
	}
}
