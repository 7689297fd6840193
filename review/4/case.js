/**
One of three fronts is killed. The two others, which nothing disturbs, serve short streams whose answers have neither a length nor chunks, beside ordinary calls on kept connections.

Exits with 1 if more than three calls on kept connections that an undisturbed front had passed on to a sound replica ended with a closed connection, 0 if not, 2 if the case could not run.
*/
import {Agent} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {wholeAnswer} from '../lib-2/answer-parts.js';
import {
	call, Fleet, freePort, host,
} from '../lib-2/fleet.js';
import {Replica} from '../lib-2/replica.js';
import {Store} from '../lib-2/store.js';

const hasTrouble = process.env.TROUBLE !== '0';

const replicaCount = 6;
const parts = 3;
const streamMs = 90;
const deskMs = 300;
const deskCallers = 6;
const streamsEveryMs = 100;
const killAt = 3000;
const endAt = 9000;
/** The rule allows as many. */
const allowed = 3;

const service = 'engines';
const routes = [
	{
		name: 'alert', hostname: host, pathPrefix: '/alert/', kind: 'stream', timeoutMs: 5000, sloMs: 300, priority: 0, service, maxAttempts: 2, sticky: true, resumable: true, gapTargetMs: 250,
	},
	{
		name: 'desk', hostname: host, pathPrefix: '/desk/', kind: 'safe', timeoutMs: 1000, sloMs: 300, priority: 2, service, maxAttempts: 2,
	},
];
const config = {
	version: 3,
	routes,
	services: [{name: service, healthPath: '/healthz', maxConns: 180}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

const fleet = new Fleet(path.dirname(process.argv[1]));
const store = new Store();
const replicas = Array.from({length: replicaCount}, (_, i) => new Replica({
	id: `i-${i + 1}`, parts, streamMs, deskMs,
}));
const undisturbed = ['front-1', 'front-2'];
let startedAt;
let count = 0;
let lost = 0;

const isOver = () => performance.now() - startedAt > endAt;

/** Sends one call and records an answer that is not whole. */
const send = async (name, address, pathPrefix, agent) => {
	count += 1;
	const id = `call-${count}`;
	const target = `${pathPrefix}${id}`;
	const {status, isComplete, isReused, text} = await call(address, {
		method: 'POST', target, headers: {'x-citronyard-request-id': id, 'x-citronyard-deadline-ms': '3000'}, body: `body of ${id}`, agent,
	});
	const hasRun = replicas.some(replica => replica.runs.has(id));
	if (status === 200 && isComplete && text === wholeAnswer(target, id, parts)) {
		return true;
	}

	const isLost = hasRun && !isComplete && isReused && undisturbed.includes(name);
	lost += isLost ? 1 : 0;
	fleet.record(`${target} at ${name}: status ${status}, ${isComplete ? 'complete' : 'connection closed'}, on a ${isReused ? 'kept' : 'new'} connection, ${hasRun ? 'was passed on and run' : 'not run'}${isLost ? ' - LOST' : ''}`);
	return false;
};

/** Sends calls one after the other on a kept connection. */
const callInTurn = async (name, address, pathPrefix, everyMs) => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	while (!isOver() && fleet.exitCodeOf(name) === null) {
		const isWhole = await send(name, address, pathPrefix, agent);
		await pause(isWhole ? everyMs : 200);
	}

	agent.destroy();
};

const run = async () => {
	const storeAddress = await store.listen(await freePort());
	store.write('config', 'main', config);
	for (const [i, replica] of replicas.entries()) {
		await replica.listen(await freePort());
		store.write('servers', `i-${i + 1}`, {
			service, address: replica.address, zone: 'hall-a', version: 'v1', slots: 16, state: 'ready', coldMs: 0, seq: 1, born: Date.now(),
		});
	}

	const fronts = new Map();
	for (const name of [...undisturbed, 'front-3']) {
		fronts.set(name, await fleet.start('front', name, storeAddress));
	}

	await Promise.all([...fronts.values()].map(front => fleet.untilReady(front)));
	await pause(2000);

	startedAt = performance.now();
	const callers = undisturbed.flatMap(name => {
		const {front} = fronts.get(name);
		return [
			...Array.from({length: deskCallers}, async () => callInTurn(name, front, '/desk/', 20)),
			callInTurn(name, front, '/alert/', streamsEveryMs),
		];
	});
	if (hasTrouble) {
		await pause(killAt);
		fleet.signal('front-3', 'SIGKILL');
	}

	await Promise.all(callers);
	undisturbed.forEach(name => {
		const exitCode = fleet.exitCodeOf(name);
		fleet.record(`${name}: ${exitCode === null ? 'still runs' : `has ended by itself, exit code ${exitCode}`}`);
	});
	fleet.record(`${count} calls; ${lost} on kept connections were passed on to a sound replica and got no answer (${allowed} are allowed)`);
	return lost > allowed ? 1 : 0;
};

const code = await run().catch(err => {
	fleet.record(`the case could not run: ${err.stack}`);
	return 2;
});
await fleet.dispose();
replicas.forEach(replica => {
	replica.close();
});
store.close();
fleet.record(`exit ${code}`);
process.exitCode = code;
