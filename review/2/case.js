/**
The limit of waiting tokens is almost reached. A client ends one of the batch jobs at a front; the store does not answer the write of that end, and makes it late. Meanwhile another client sends the front a batch job of the same size, for which there is room without the one that was ended. Then the store is calm, and all fronts are asked for the accepted job. At last the front that accepted it is stopped as planned and started again, and all are asked once more.
*/
import {setTimeout as pause} from 'node:timers/promises';
import {
	batchRoute, bounds, isTroubled, results, runCase, streamRoute, submission,
} from '../lib/fleet.js';

/** `platform_lost` with `late`: a write is not answered, and made 1 to 6 s later. */
const lateMs = 2000;

/** The store is calm for longer than `contactMs`, so all fronts are in touch. */
const calmMs = bounds.contactMs + 1000;

/** 46,800 tokens: the sheet's largest job, of items of the usual size. */
const job = number => ({id: `d1b2c3d4e5f6${String(number).padStart(4, '0')}`, items: 24, tokens: 1950});

/** 2,293,200 tokens: no other job fits under the limit of 2,300,000 until one of these has ended. */
const waiting = Array.from({length: 49}, (_, i) => job(i));
const ended = waiting[20];
const accepted = job(100);

const endOf = ({id}) => ({method: 'DELETE', path: `/citronyard/lots/${id}`});

await runCase(import.meta.dirname, async fleet => {
	await fleet.start({routes: [batchRoute, streamRoute], replicas: 13});
	const [a, b, c] = fleet.names;
	const answers = await Promise.all(waiting.map(async (one, i) => fleet.call(fleet.names[i % 3], submission(one.id, one))));
	if (answers.some(({status}) => status !== 202)) {
		throw new Error('a job that waits was not accepted');
	}

	await pause(1000);
	let lost = 0;
	fleet.store.loseWrite = ({name}) => {
		if (!isTroubled || name !== `end-${ended.id}` || lost > 0) {
			return undefined;
		}

		lost += 1;
		fleet.note(`the store does not answer the write of ${name}, and makes it ${lateMs} ms later`);
		return lateMs;
	};

	const ending = fleet.call(a, endOf(ended));
	await pause(100);
	const {status} = await fleet.call(a, submission(accepted.id, accepted));
	const acceptedAt = fleet.now;
	if (status !== 202) {
		throw new Error(`the job was answered ${status}`);
	}

	const {status: endStatus} = await ending;
	if (endStatus !== 200) {
		await fleet.call(b, endOf(ended));
	}

	await pause(lateMs + calmMs);
	const violations = [];
	const ask = async when => {
		for (const front of [a, b, c]) {
			const answer = await fleet.call(front, results(accepted.id));
			if (answer.status === 404 || answer.status === 410) {
				violations.push(`LOST: ${when}, ${fleet.now - acceptedAt} ms after its 202, ${front} answers ${answer.status} for job ${accepted.id}`);
			}
		}
	};

	await ask('all fronts in touch');
	fleet.keepFrontsRunning(1000);
	fleet.signal(a, 'SIGTERM');
	fleet.note(`${a} gets SIGTERM`);
	await pause((bounds.graceS * 1000) + 3000 + calmMs);
	await ask(`after the planned stop of ${a}`);
	return violations;
});
