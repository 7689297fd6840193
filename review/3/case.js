import {setTimeout as pause} from 'node:timers/promises';
import {
	batchRoute, bounds, isTroubled, results, runCase, streamRoute, submission,
} from '../lib/fleet.js';

/** Stale reads of the store are up to 6 s behind (`platform_compact`, `x` of the site's list). */
const staleMs = 5000;

const jobs = Array.from({length: 6}, (_, i) => ({id: `b1b2c3d4e5f6000${i}`, items: 60, tokens: 2000}));

await runCase(import.meta.dirname, async fleet => {
	fleet.store.staleMs = isTroubled ? staleMs : 0;
	await fleet.start({routes: [batchRoute, streamRoute], replicas: 13});
	await pause(staleMs);
	const [a] = fleet.names;
	await Promise.all(jobs.map(async (job, i) => fleet.call(fleet.names[i % 3], submission(job.id, job))));
	const runs = () => fleet.replicas.flatMap(replica => replica.runs);
	await fleet.until('all slots are taken', () => runs().length >= 100, 20_000);
	await pause(1000);
	const endedAt = new Map();
	await Promise.all(jobs.map(async ({id}) => {
		const {status} = await fleet.call(a, {method: 'DELETE', path: `/citronyard/lots/${id}`});
		if (status === 200) {
			endedAt.set(id, performance.now());
		}
	}));
	await pause(12_000);
	return runs().flatMap(({request, ranAt, replica}) => {
		const ended = endedAt.get(request.slice(0, 16));
		const lateMs = ranAt - ended - bounds.cancelMs;
		return lateMs > 0 ? [`UNASKED: ${replica} runs item ${request} ${Math.round(ranAt - ended)} ms after its job's end was confirmed`] : [];
	});
});
