/**
One batch job of 200 items is run by an idle fleet, whose engines write Bengali. No process, connection or store is disturbed.
*/
import {setTimeout as pause} from 'node:timers/promises';
import {
	batchRoute, bounds, isTroubled, results, runCase, streamRoute, submission,
} from '../lib/fleet.js';

/** The sheet's events have 75 bytes: 25 letters of Bengali script. */
const lettersPerEvent = 25;
/** 171 on average, 273 at most. */
const events = 220;
const letter = isTroubled ? 'ট' : 't';

const job = {id: 'f1b2c3d4e5f60001', items: 200, tokens: 2000};

/** An item takes 7 s, and more than a third of the items can run at once. */
const deadlineMs = 18_000;

/** The rule looks at the last seconds, which must be calm. */
const calmMs = 5000;

await runCase(import.meta.dirname, async fleet => {
	await fleet.start({
		routes: [batchRoute, streamRoute], replicas: 13, events, dataOf: () => letter.repeat(lettersPerEvent),
	});
	const [a] = fleet.names;
	const {status} = await fleet.call(a, submission(job.id, job));
	if (status !== 202) {
		throw new Error(`the job was answered ${status}`);
	}

	await pause(deadlineMs + (bounds.finishS * 1000));
	const runs = fleet.replicas.flatMap(replica => replica.runs);
	const finished = new Set(runs.filter(({ended}) => ended).map(({request}) => request));
	const isIdle = fleet.replicas.every(({running}) => running === 0);
	fleet.note(`${runs.length} runs, ${finished.size} items whose whole text a replica has written; replicas are ${isIdle ? 'idle' : 'at work'}`);
	const runsBefore = runs.length;
	await pause(calmMs);
	const ranMeanwhile = fleet.replicas.flatMap(replica => replica.runs).length - runsBefore;
	const violations = [];
	for (const front of fleet.names) {
		let listed = 0;
		for (let count = -1; count !== 0 && listed < job.items;) {
			const answer = await fleet.call(front, results(job.id, listed));
			count = answer.status === 200 ? JSON.parse(answer.body).results.length : 0;
			listed += count;
		}

		fleet.note(`${front} lists ${listed} of ${job.items} items`);
		if (listed < job.items && isIdle && ranMeanwhile === 0) {
			violations.push(`LOST: ${front} lists ${listed} of ${job.items} items, ${deadlineMs + (bounds.finishS * 1000) + calmMs} ms after the 202, though ${finished.size} have been written by replicas and these are idle`);
		}
	}

	return violations;
});
