/**
The invariants, checked against everything that callers were told and everything that the outside systems counted. Each check returns its violations in words, so that a run that fails says where to look.
*/
import type {ItemLine} from '../../src/load/batch-job.js';
import type {CallerAnswer} from '../../src/load/caller.js';
import type {SoakRequest, SoakTry} from './soak-callers.js';
import type {SoakFleet} from './soak-fleet.js';
import type {SoakJob} from './soak-jobs.js';

/** The event in which an entry says how a request ended. */
const requestEnded = 217;

const isGeneration = ({kind}: SoakRequest) => kind === 'stream' || kind === 'whole';
const isWhole = (answer: CallerAnswer) => answer.kind === 'whole';
const saysNotRun = (answer: CallerAnswer) => (answer.kind === 'error' && answer.run === 'not-run') || (answer.kind === 'lost' && !answer.wasSent);
const tell = (request: SoakRequest, {entry, answer, from, until}: SoakTry) => `${request.kind} "${request.marker}" at ${entry} (${request.phase}, ${Math.round(from)} to ${Math.round(until)}): ${JSON.stringify(answer).slice(0, 300)}`;

const triesOf = (requests: readonly SoakRequest[]) => requests.flatMap(request => request.tries.map(one => ({request, one})));

const isOwnAnswer = (request: SoakRequest, answer: CallerAnswer): boolean => {
	if (answer.kind === 'whole') {
		return isGeneration(request) ? answer.text === request.expected : (JSON.parse(answer.text) as {marker?: string}).marker === request.marker;
	}

	return answer.kind !== 'cut' || request.expected.startsWith(answer.text);
};

/** Answers that are not the caller's own, or not whole though they say so. A part that was told to be one must be a beginning of the answer. */
export const wrongAnswers = (requests: readonly SoakRequest[]): string[] => triesOf(requests)
	.filter(({request, one}) => !isOwnAnswer(request, one.answer))
	.map(({request, one}) => tell(request, one));

/** Answers that ended in the middle or did not come, though their entry lived all the time. An error that the entry told is none. */
export const lostAnswers = (requests: readonly SoakRequest[], fleet: SoakFleet): string[] => triesOf(requests)
	.filter(({one: {answer}}) => (answer.kind === 'cut' && answer.reason.startsWith('stream ')) || (answer.kind === 'lost' && answer.wasSent))
	.filter(({one}) => !fleet.wasOut(one.entry, one.from, one.until))
	.map(({request, one}) => tell(request, one));

/** Requests that a planned stop cut off: neither answered whole nor refused as not run, while nothing but planned stops happened. */
export const cutByStops = (requests: readonly SoakRequest[]): string[] => triesOf(requests)
	.filter(({request, one: {answer}}) => request.phase === 'plannedStops' && !isWhole(answer) && !saysNotRun(answer))
	.map(({request, one}) => tell(request, one));

const serviceRuns = (fleet: SoakFleet, marker: string) => [...fleet.services.values()].reduce((sum, service) => sum + (service.runs()[marker] ?? 0), 0);

/** Non-idempotent calls that ran more than once, those that were repeated under one key included. */
export const repeatedRuns = (requests: readonly SoakRequest[], fleet: SoakFleet): string[] => requests
	.filter(({kind}) => kind === 'post' || kind === 'keyedPost')
	.map(request => ({request, runs: serviceRuns(fleet, request.marker)}))
	.filter(({runs}) => runs > 1)
	.map(({request, runs}) => `${request.kind} "${request.marker}" ran ${runs} times`);

/** Calls whose every answer said "not run", and that ran. */
const untrueCalls = (requests: readonly SoakRequest[], fleet: SoakFleet): string[] => requests
	.filter(request => !isGeneration(request) && request.tries.every(({answer}) => saysNotRun(answer)) && serviceRuns(fleet, request.marker) > 0)
	.map(request => `${request.kind} "${request.marker}" ran: ${request.tries.map(one => tell(request, one)).join('; ')}`);

/** Generations that an entry's log says were refused as not run, and that an engine ran. */
const untrueGenerations = (fleet: SoakFleet): string[] => {
	const ran = new Set([...fleet.engines.values()].flatMap(engine => Object.keys(engine.stats().runs)).map(key => key.split('/')[0]));
	return [...fleet.allProcesses.keys()].flatMap(program => program.log.split('\n'))
		.filter(line => line.includes(`"event":${requestEnded},`) && line.includes('"outcome":"refused"'))
		.map(line => (JSON.parse(line) as {id: string}).id)
		.filter(id => ran.has(id))
		.map(id => `${id} was refused as not run, and ran`);
};

/** Untrue refusals. */
export const untrueNotRun = (requests: readonly SoakRequest[], fleet: SoakFleet): string[] => [...untrueCalls(requests, fleet), ...untrueGenerations(fleet)];

const textOf = ({response}: ItemLine) => response?.body.choices?.[0]?.message?.content ?? '';

/** Items that should have a result at the end and have none. */
export const lostItems = (jobs: readonly SoakJob[]): string[] => jobs.flatMap(job => {
	if (!job.ended || !job.results) {
		return [`job ${job.name} ${job.ended ? 'has no readable results' : 'has not ended'}`];
	}

	const found = new Set(job.results.map(({custom_id: id}) => id));
	return job.isCancelled ? [] : [...job.items.keys()].filter(id => !found.has(id)).map(id => `job ${job.name} lost ${id}`);
});

/** Items with two results, results that are not the item's own, and jobs that became two. */
export const doubledItems = (jobs: readonly SoakJob[]): string[] => jobs.flatMap(job => {
	const results = job.results ?? [];
	const ids = results.map(({custom_id: id}) => id);
	return [
		...(new Set(job.ids).size > 1 ? [`job ${job.name} became ${job.ids.join(' and ')}`] : []),
		...ids.filter((id, i) => ids.indexOf(id) < i).map(id => `job ${job.name} has ${id} twice`),
		...results.filter(line => textOf(line) !== job.items.get(line.custom_id)).map(line => `job ${job.name} has a wrong result of ${line.custom_id}: ${JSON.stringify(line).slice(0, 200)}`),
	];
});

/** What was done for cancelled jobs after their end, and jobs whose results changed after their end. */
export const workAfterEnd = (jobs: readonly SoakJob[], runsNow: (id: string) => number, resultsNow: ReadonlyMap<string, readonly ItemLine[] | undefined>): string[] => jobs.flatMap(job => {
	const runs = job.ended ? runsNow(job.ended.id) - job.runsAfterEnd : 0;
	const before = job.results?.length;
	const after = resultsNow.get(job.name)?.length;
	return [
		...(job.isCancelled && runs > 0 ? [`${runs} runs for the cancelled job ${job.name} after its end`] : []),
		...(before !== undefined && after !== before ? [`job ${job.name} had ${before} results at its end and ${after} later`] : []),
	];
});
