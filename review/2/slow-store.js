/**
Two batch jobs are accepted at two fronts at about the same time, while the store is slow. Both fit: together with what waits already they take a little more than the limit of waiting tokens, within `quotaOverage`. Then the store is calm, and clients read both jobs at all fronts. The larger one is sent once more, as other clients do, and read again.
*/
import {setTimeout as pause} from 'node:timers/promises';
import {
	batchRoute, bounds, isTroubled, results, runCase, streamRoute, submission,
} from '../lib/fleet.js';

/** `platform_slow` of the site: answers take 60 times as long, for 4.5 s; the sheet states 4 ms. */
const slowAnswerMs = 240;
const slowMs = 4500;
const usualAnswerMs = 4;

/** The store is calm for longer than `contactMs`, so all fronts are in touch. */
const calmMs = bounds.contactMs + 500;

/** 748,000 tokens that wait already, of as many items as there are slots. */
const waiting = [
	{id: 'a1b2c3d4e5f60001', items: 50, tokens: 7480},
	{id: 'a1b2c3d4e5f60002', items: 50, tokens: 7480},
];
/** 1,200,000 tokens: with those, 352,000 below the limit of 2,300,000. */
const large = {id: 'a1b2c3d4e5f60003', items: 200, tokens: 6000};
/** 380,000 tokens: with all others, 28,000 above the limit and 202,000 below the limit with its overage. */
const small = {id: 'a1b2c3d4e5f60004', items: 190, tokens: 2000};

/** How long the client of the large job is ahead of the other one. */
const aheadMs = 150;

/** The time that the results which were read have to come again, in milliseconds. */
const comeAgainMs = 15_000;

await runCase(import.meta.dirname, async fleet => {
	await fleet.start({routes: [batchRoute, streamRoute], replicas: 13});
	const [a, b, c] = fleet.names;
	const acceptedAt = new Map();
	const violations = [];
	const submit = async (front, size) => {
		const {status} = await fleet.call(front, submission(size.id, size));
		if (status === 202) {
			acceptedAt.set(size.id, fleet.now);
		}
	};

	/** Reads a job from its start at a front. */
	const read = async (front, {id}) => {
		const {status, body} = await fleet.call(front, results(id));
		if (status === 404 || status === 410) {
			violations.push(`LOST: ${fleet.now - acceptedAt.get(id)} ms after its 202, ${front} answers ${status} for job ${id}`);
		}

		const page = status === 200 ? JSON.parse(body) : {results: []};
		fleet.note(`${front}: job ${id} has ${page.results.length} results from position 0 on`);
		return page.results;
	};

	await Promise.all(waiting.map(async one => submit(c, one)));
	await pause(1000);
	if (isTroubled) {
		fleet.store.answerMs = slowAnswerMs;
		fleet.note(`the store's answers take ${slowAnswerMs} ms`);
	}

	await pause(500);
	const submitted = submit(b, large);
	await pause(aheadMs);
	await Promise.all([submitted, submit(a, small)]);
	await pause(slowMs - 1500);
	fleet.store.answerMs = usualAnswerMs;
	fleet.note('the store is as usual');
	await pause(calmMs);
	if (!acceptedAt.has(large.id)) {
		throw new Error('the large job was not accepted');
	}

	for (const job of [...waiting, small, large].filter(({id}) => acceptedAt.has(id))) {
		await Promise.all([a, b, c].map(async front => read(front, job)));
	}

	let listed = [];
	await fleet.until('the large job has results', async () => {
		listed = await read(b, large);
		return listed.length > 0;
	}, 20_000);
	const again = await fleet.call(a, submission(large.id, large));
	if (again.status !== 202) {
		await fleet.call(b, submission(large.id, large));
	}

	await pause(comeAgainMs);
	for (const front of [a, b, c]) {
		const found = await read(front, large);
		const missing = listed.filter(({id}, i) => found[i]?.id !== id);
		if (missing.length > 0) {
			violations.push(`LOST: ${missing.length} of the ${listed.length} results that were read of job ${large.id} do not come again at ${front}, ${comeAgainMs} ms after it was sent once more`);
		}
	}

	return violations;
});
