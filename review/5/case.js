/**
A front is stopped (SIGTERM) while calls are running on kept connections. A call that a caller sends on such a connection after the answer has been read in full by the front, is passed on to a replica, and must be answered.

Exits with 1 if a call that a front had passed on was cut off without a complete answer, 0 if none was, 2 if the case could not run.
*/
import {Agent} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {wholeAnswer} from '../lib-2/answer-parts.js';
import {
	call, Fleet, freePort, host,
} from '../lib-2/fleet.js';
import {Store} from '../lib-2/store.js';

const hasTrouble = process.env.TROUBLE !== '0';

const parts = 44;
const gapMs = 100;
const engineCount = 3;
const callersPerRoute = 4;
const callsPerCaller = 3;

/** When the front is stopped, in milliseconds after the first calls were sent. */
const stopAt = 300;
/** `graceS`, and the share of it in which a call that was sent within `exemptAfterMs` of the signal may still be running. */
const graceMs = 8000;
const exemptAfterMs = 3000;

const service = 'engines';
const routes = [
	{
		name: 'summary', hostname: host, pathPrefix: '/summary/', kind: 'stream', timeoutMs: 5000, sloMs: 300, priority: 0, service, maxAttempts: 1, sticky: true, resumable: false, gapTargetMs: 250,
	},
	{
		name: 'order', hostname: host, pathPrefix: '/desk/order/', kind: 'unsafe', timeoutMs: 5000, sloMs: 300, priority: 0, service, maxAttempts: 1,
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
/** When each call began to run at a replica, by its id. */
const runsOf = new Map();
let stoppedAt = Infinity;
let killTimer;

const startEngine = async id => {
	const port = await freePort();
	await fleet.startReplica({
		id, port, parts, gapMs, isUnframed: false,
	}, line => {
		fleet.record(`${id}: ${line}`);
		const begun = /^runs (?<call>\S+)/v.exec(line)?.groups.call;
		if (begun) {
			runsOf.set(begun, id);
		}
	});
	store.write('servers', id, {
		service, address: `127.0.0.1:${port}`, zone: 'hall-a', version: 'v1', slots: 16, state: 'ready', coldMs: 0, seq: 1, born: Date.now(),
	});
};

/** Sends calls one after the other, on one connection for as long as the front keeps it. */
const callInTurn = async (front, {name, pathPrefix}, caller) => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const outcomes = [];
	for (let i = 1; i <= callsPerCaller && performance.now() < stoppedAt + graceMs; i += 1) {
		const id = `${name}-${caller}-${i}`;
		const target = `${pathPrefix}${id}`;
		const sentAt = performance.now();
		const answer = await call(front, {
			method: 'POST', target, headers: {'x-citronyard-request-id': id, 'x-citronyard-deadline-ms': '5000'}, body: `body of ${id}`, agent,
		});
		const tookMs = performance.now() - sentAt;
		const isWhole = answer.text === wholeAnswer(target, id, parts) && answer.isComplete;
		const sentAfterStopMs = sentAt - stoppedAt;
		const isExempt = sentAfterStopMs <= exemptAfterMs || tookMs >= 5000;
		const isCut = runsOf.has(id) && !isWhole && !answer.isComplete && !isExempt;
		fleet.record(`${id}: sent ${sentAfterStopMs === -Infinity ? 'before the stop' : `${Math.round(sentAfterStopMs)} ms after SIGTERM`}, status ${answer.status} after ${Math.round(tookMs)} ms, ${answer.isComplete ? 'complete' : 'cut off'}, ${answer.text.length} bytes, run by ${runsOf.get(id) ?? 'none'}${isCut ? ' - PASSED ON, READ, AND NEVER ANSWERED' : ''}`);
		outcomes.push(isCut);
	}

	agent.destroy();
	return outcomes;
};

const run = async () => {
	const storeAddress = await store.listen(await freePort());
	store.write('config', 'main', config);
	for (let i = 1; i <= engineCount; i += 1) {
		await startEngine(`i-${i}`);
	}

	const fronts = [];
	for (const name of ['front-1', 'front-2']) {
		fronts.push(await fleet.start('front', name, storeAddress));
	}

	await Promise.all(fronts.map(front => fleet.untilReady(front)));
	await pause(2000);

	const answered = Promise.all(routes.flatMap(route => Array.from({length: callersPerRoute}, async (_, caller) => callInTurn(fronts[0].front, route, caller))));
	if (hasTrouble) {
		await pause(stopAt);
		fleet.signal('front-1', 'SIGTERM');
		stoppedAt = performance.now();
		killTimer = setTimeout(() => {
			fleet.signal('front-1', 'SIGKILL');
		}, graceMs);
	}

	const outcomes = await answered;
	const cut = outcomes.flat().filter(Boolean).length;
	fleet.record(`${cut} calls were read and passed on, and cut off without a complete answer`);
	return cut > 0 ? 1 : 0;
};

const code = await run().catch(err => {
	fleet.record(`the case could not run: ${err.stack}`);
	return 2;
});
clearTimeout(killTimer);
await fleet.dispose();
store.close();
fleet.record(`exit ${code}`);
process.exitCode = code;
