/**
A front is suspended while a replica crashes, and wakes when the replica is back. The replica's answers have neither a length nor chunks: those that it had begun have ended early, and must not look complete.

Exits with 1 if a caller got a success that looks complete and is not the whole answer, 0 if none did, 2 if the case could not run.
*/
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {wholeAnswer} from './answer-parts.js';
import {
	call, Fleet, freePort, host,
} from './fleet.js';
import {Store} from './store.js';

const hasTrouble = process.env.TROUBLE !== '0';

const parts = 25;
const gapMs = 40;
const engineCount = 6;
const callsPerRoute = 12;

/** When things happen, in milliseconds after the calls were sent. */
const suspendAt = 300;
const crashAt = 600;
const backAt = 3400;
const wakeAt = 4000;

const service = 'engines';
const routes = [
	{
		name: 'alert', hostname: host, pathPrefix: '/alert/', kind: 'stream', timeoutMs: 5000, sloMs: 300, priority: 0, service, maxAttempts: 2, sticky: true, resumable: true, gapTargetMs: 250,
	},
	{
		name: 'summary', hostname: host, pathPrefix: '/summary/', kind: 'stream', timeoutMs: 5000, sloMs: 300, priority: 0, service, maxAttempts: 1, sticky: true, resumable: false, gapTargetMs: 250,
	},
	{
		name: 'desk', hostname: host, pathPrefix: '/desk/', kind: 'safe', timeoutMs: 5000, sloMs: 300, priority: 2, service, maxAttempts: 2,
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
/** The instances that have begun to run a call, by its id. */
const runsOf = new Map();

const startEngine = async engine => {
	const {id, port} = engine;
	engine.child = await fleet.startReplica({
		id, port, parts, gapMs, isUnframed: true,
	}, line => {
		fleet.record(`${id}: ${line}`);
		const begun = /^runs (?<call>\S+)/v.exec(line)?.groups.call;
		if (begun) {
			runsOf.set(begun, [...runsOf.get(begun) ?? [], id]);
		}
	});
	store.write('servers', id, {
		service, address: `127.0.0.1:${port}`, zone: 'hall-a', version: 'v1', slots: 8, state: 'ready', coldMs: 0, seq: 1, born: Date.now(),
	});
};

const send = async (front, target, id) => {
	const answer = await call(front, {
		method: 'POST', target, headers: {'x-citronyard-request-id': id, 'x-citronyard-deadline-ms': '5000'}, body: `body of ${id}`,
	});
	const isWhole = answer.text === wholeAnswer(target, id, parts);
	const isBroken = answer.status === 200 && answer.isComplete && !isWhole;
	fleet.record(`${target}: status ${answer.status}, ${answer.isComplete ? 'ends as complete' : 'broken off'}, ${isWhole ? 'whole' : `${answer.text.length} of ${wholeAnswer(target, id, parts).length} bytes`}, run by ${(runsOf.get(id) ?? []).join(' and ')}${isBroken ? ' - ENDED EARLY AND LOOKS COMPLETE' : ''}`);
	return isBroken;
};

/** The engine that runs the most calls. */
const busiestOf = engines => {
	const countOf = ({id}) => [...runsOf.values()].filter(ids => ids.includes(id)).length;
	return engines.toSorted((a, b) => countOf(b) - countOf(a))[0];
};

const disturb = async engines => {
	await pause(suspendAt);
	fleet.signal('front-1', 'SIGSTOP');
	await pause(crashAt - suspendAt);
	const engine = busiestOf(engines);
	engine.child.kill('SIGKILL');
	fleet.record(`replica ${engine.id} crashes`);
	await pause(backAt - crashAt);
	await startEngine(engine);
	await pause(wakeAt - backAt);
	fleet.signal('front-1', 'SIGCONT');
};

const run = async () => {
	const storeAddress = await store.listen(await freePort());
	store.write('config', 'main', config);
	const engines = [];
	for (let i = 1; i <= engineCount; i += 1) {
		const engine = {id: `i-${i}`, port: await freePort()};
		engines.push(engine);
		await startEngine(engine);
	}

	const fronts = [];
	for (const name of ['front-1', 'front-2', 'front-3']) {
		fronts.push(await fleet.start('front', name, storeAddress));
	}

	await fleet.start('keeper', 'store-1', storeAddress);
	await Promise.all(fronts.map(front => fleet.untilReady(front)));
	await pause(2000);

	const targets = routes.flatMap(({name, pathPrefix}) => Array.from({length: callsPerRoute}, (_, i) => ({target: `${pathPrefix}${i}`, id: `${name}-${i}`})));
	const answered = Promise.all(targets.map(async ({target, id}) => send(fronts[0].front, target, id)));
	if (hasTrouble) {
		await disturb(engines);
	}

	const outcomes = await answered;
	const broken = outcomes.filter(Boolean).length;
	fleet.record(`${broken} of ${targets.length} calls were answered with a success that ended early and looks complete`);
	if (fleet.hasLostProcess) {
		fleet.record('the case could not be judged: a process has ended');
		return 2;
	}

	return broken > 0 ? 1 : 0;
};

const code = await run().catch(err => {
	fleet.record(`the case could not run: ${err.stack}`);
	return 2;
});
await fleet.dispose();
store.close();
fleet.record(`exit ${code}`);
process.exitCode = code;
