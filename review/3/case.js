/**
Clients look things up at a plain service over kept connections. One of its three replicas answers one in fifty requests with a header whose value has a letter outside ASCII. The platform restarts processes that end.
*/
import {Agent} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
	batchRoute, call, deskRoute, isTroubled, runCase, streamRoute,
} from '../lib/fleet.js';

/** `garble` of the site: 0.35 of the replicas spoil 0.02 of their answers. */
const spoilEvery = 50;

const clientsPerFront = 5;
const thinkMs = 100;
const restartMs = 1000;
const dayMs = 30_000;

/** The rule allows three. */
const allowedLosses = 3;

const header = fileName => ({'content-disposition': `attachment; filename="${fileName}.txt"`});

await runCase(import.meta.dirname, async fleet => {
	let answers = 0;
	const extraHeaders = ({request}) => {
		answers += 1;
		const isSpoilt = isTroubled && answers % spoilEvery === 0;
		if (isSpoilt) {
			fleet.note(`replica d-1 answers ${request} with a letter outside ASCII in a header`);
		}

		return header(isSpoilt ? 'horário' : 'horario');
	};

	await fleet.start({routes: [batchRoute, streamRoute, deskRoute], desks: [{extraHeaders}, {}, {}]});
	fleet.keepFrontsRunning(restartMs);
	const end = performance.now() + dayMs;
	const cut = [];
	let served = 0;
	const client = async (front, number) => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		let isKept = false;
		for (let i = 0; performance.now() < end; i += 1) {
			const id = `c${number}${String(i).padStart(6, '0')}`;
			const {status, reason} = await call(fleet.fronts.get(front).listen, {
				method: 'GET', path: `/lookup/${id}`, id, agent,
			});
			fleet.note(`${front}: GET /lookup/${id} on a ${isKept ? 'kept' : 'new'} connection: ${status || `no answer, ${reason}`}`);
			served += status === 200 ? 1 : 0;
			if (status === 0) {
				cut.push({
					id, front, isKept, reason,
				});
			}

			isKept = status === 200;
			await pause(isKept ? thinkMs : restartMs / 2);
		}

		agent.destroy();
	};

	await Promise.all(fleet.names.flatMap((front, f) => Array.from({length: clientsPerFront}, async (_, i) => client(front, `${f}${i}`))));
	const soundRuns = new Set(fleet.desks.slice(1).flatMap(({runs}) => runs).map(({request}) => request));
	const lost = cut.filter(({id, isKept}) => isKept && soundRuns.has(id));
	fleet.note(`served ${served}; no answer ${cut.length}, of these on kept connections and passed on to a sound replica ${lost.length}`);
	fleet.note(`fronts that ended by themselves: ${JSON.stringify(Object.fromEntries(fleet.ownEnds))}`);
	if (served === 0) {
		throw new Error('nothing was served');
	}

	return lost.length > allowedLosses
		? lost.map(({id, front}) => `LOST: ${front} had passed ${id} on to a sound replica and closed its kept connection without an answer`)
		: [];
});
