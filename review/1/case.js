/**
Two batch jobs are run by an idle fleet, whose engines write Bengali: one of as many items as a job may have, and then one of the sheet's largest size whose items are longer than usual. No process, connection or store is disturbed.
*/
import {setTimeout as pause} from 'node:timers/promises';
import {
	batchRoute, bounds, isTroubled, results, runCase, streamRoute, submission,
} from '../lib/fleet.js';

/** Three bytes a letter, or one. */
const letter = isTroubled ? 'ট' : 't';

/** An item has 171 on average and 273 at most. */
const events = 220;

/** The sheet's events have 75 bytes on average and 450 at most. */
const jobs = [
	{
		id: 'f1b2c3d4e5f60001', items: 200, tokens: 2000, lettersPerEvent: 25,
	},
	{
		id: 'f1b2c3d4e5f60002', items: 24, tokens: 2000, lettersPerEvent: 100,
	},
];

const jobIdLength = jobs[0].id.length;
const dataOf = ({request}) => letter.repeat(jobs.find(({id}) => id === request.slice(0, jobIdLength)).lettersPerEvent);

/** An item takes 7 s, and more than a third of the first job's items run at once. */
const runMs = 25_000;
const deadlineMs = 18_000;

/** The rule looks at the last seconds, which must be calm. */
const calmMs = 5000;

await runCase(import.meta.dirname, async fleet => {
	await fleet.start({
		routes: [batchRoute, streamRoute], replicas: 13, events, dataOf,
	});
	const [a] = fleet.names;
	const runs = () => fleet.replicas.flatMap(replica => replica.runs);
	for (const job of jobs) {
		const {status} = await fleet.call(a, submission(job.id, job));
		if (status !== 202) {
			throw new Error(`job ${job.id} was answered ${status}`);
		}

		await pause(runMs);
	}

	// The second job was sent `runMs` ago.
	await pause(deadlineMs + (bounds.finishS * 1000) - runMs);
	const runsBefore = runs().length;
	await pause(calmMs);
	const isCalm = runs().length === runsBefore && fleet.replicas.every(({running}) => running === 0);
	fleet.note(isCalm ? 'no replica has worked in the last seconds' : 'replicas are at work');
	const violations = [];
	for (const {id, items} of jobs) {
		const written = new Set(runs().filter(({request, ended}) => ended && request.startsWith(id)).map(({request}) => request)).size;
		fleet.note(`replicas have written the whole text of ${written} of ${items} items of job ${id}`);
		for (const front of fleet.names) {
			let listed = 0;
			for (let count = -1; count !== 0 && listed < items;) {
				const answer = await fleet.call(front, results(id, listed));
				count = answer.status === 200 ? JSON.parse(answer.body).results.length : 0;
				listed += count;
			}

			fleet.note(`${front} lists ${listed} of ${items} items of job ${id}`);
			if (listed < items && isCalm) {
				violations.push(`LOST: ${front} lists ${listed} of ${items} items of job ${id}, later than deadlineMs and finishS, though replicas have written ${written} and are idle`);
			}
		}
	}

	return violations;
});
