/**
Puts the story of one call or batch job together from the log lines of all processes, and names the cause where the lines show one.
*/
import {gatewayEvents} from '../../gateway/log-events.js';
import {textOf, type LogLine} from '../logs/log-line.js';

/** What is known of an id. */
export type Story = {
	readonly id: string;
	/** Lines that name the id, the oldest first. */
	readonly lines: readonly LogLine[];
	/** A sentence; undefined where the lines show no end. */
	readonly cause: string | undefined;
};

/** Fields that name a call, a job or an item. */
const idFields = ['id', 'job', 'item'] as const;

type Explain = (lines: readonly LogLine[], end: LogLine) => string;

const last = (lines: readonly LogLine[], {number}: {readonly number: number}): LogLine | undefined => lines.findLast(({event}) => event === number);

const attemptText = (line: LogLine | undefined): string => line
	? `its last attempt, at replica ${textOf(line.fields.replica)}, ended as ${textOf(line.fields.kind)}${line.fields.reason === undefined ? '' : ` (${textOf(line.fields.reason)})`}`
	: 'no attempt was made';

/** Where a call was when it ended from outside. */
const whereabouts = (lines: readonly LogLine[]): string => {
	const routed = last(lines, gatewayEvents.callRouted);
	const failed = last(lines, gatewayEvents.attemptFailed);
	if (!routed) {
		return 'it had not been sent to a replica';
	}

	return failed && failed.time > routed.time
		? attemptText(failed)
		: `it was at replica ${textOf(routed.fields.replica)}, attempt ${String(routed.fields.attempt)}, which had ${String(routed.fields.online)} online calls and ${String(routed.fields.batch)} items in flight when it was sent`;
};

const partNames = ({heldParts}: LogLine['fields']): string => ((heldParts ?? []) as readonly string[]).join(', ');

/** A call's admission decision, from the line that tells its inputs. */
const admissionText = (lines: readonly LogLine[], why: string): string => {
	const {fields = {}} = last(lines, gatewayEvents.admissionDecided) ?? {};
	const {waitMs, elapsedMs, targetMs, share, running, retryAfterMs, isReturned, isOutranked, rank} = fields;
	return [
		`refused with 503, not run: ${why}`,
		`a slot was expected in ${String(waitMs)} ms, ${String(elapsedMs)} ms after it came, with a target of ${String(targetMs)} ms for its first event`,
		...(share === undefined ? [] : [`its owner had ${String(running)} calls in flight over all processes, and a share of ${String(Number(share))}`]),
		...(isOutranked === true ? [`calls of a higher rank than its ${String(rank)} competed`] : []),
		...(isReturned === true ? ['its caller had been refused before'] : []),
		`told to come back after ${String(retryAfterMs)} ms`,
	].join('; ');
};

const ownerOf = (lines: readonly LogLine[]): string => {
	const {account, route} = last(lines, gatewayEvents.admissionDecided)?.fields ?? {};
	return account === undefined ? `route ${textOf(route)}` : `account ${textOf(account)}`;
};

/** What a call's final answer came of, by its reason. */
const callReasons: Readonly<Record<string, Explain>> = {
	answered: (_lines, {fields}) => Number(fields.status) < 400
		? `answered with ${String(fields.status)} after ${String(fields.elapsedMs)} ms, first byte after ${String(fields.firstByteMs)} ms, in ${String(fields.offers)} attempt(s)`
		: `the replica itself answered ${String(fields.status)}`,
	noReplica: () => 'refused with 503, not run: no replica of the service was registered and taking work',
	full: lines => `refused with 503, not run: every replica that was asked declined or could not be reached; ${attemptText(last(lines, gatewayEvents.attemptFailed))}`,
	overdue: lines => admissionText(lines, 'its first event would have been late, in the room of calls that could be on time'),
	overShare: lines => admissionText(lines, `slots were scarce, and ${ownerOf(lines)} had its share of them`),
	lineFull: lines => admissionText(lines, 'it could not be on time at once, and too many calls waited at this process'),
	hopeless: () => 'refused with 503, not run: so many calls were in flight at every replica of the service that it would not have got a place in its time',
	quarantined: (_lines, {fields}) => fields.heldParts === undefined
		? `refused with 503, not run: replicas have ended under requests with the same content, ${String(fields.content)}; the lines with this content (events 740 and 741) tell which`
		: `refused with 503, not run: replicas have ended under requests with the same prompt parts, ${partNames(fields)}; the lines with them (events 740 and 748) tell which`,
	'it has ended the replicas that ran it': (lines, {fields}) => `broken off and not repeated, since replicas end under this request (${fields.heldParts === undefined ? `content ${String(fields.content)}` : `prompt parts ${partNames(fields)}`}); ${attemptText(last(lines, gatewayEvents.attemptFailed))}`,
	'a part of its prompt was quarantined during its run': (_lines, {fields}) => `broken off, since other replicas had ended under requests with the same prompt parts, ${partNames(fields)}, before its own replica could; the lines with them (events 740 and 748) tell which`,
	'time is up': (lines, {fields}) => `answered 504: the time of its route or of its caller was over after ${String(fields.elapsedMs)} ms; ${whereabouts(lines)}`,
	'time is up within the answer': lines => `cut: the time of its route or of its caller was over while the answer was under way; ${whereabouts(lines)}`,
	'the caller left': (lines, {fields}) => `the caller closed its connection after ${String(fields.elapsedMs)} ms; ${whereabouts(lines)}`,
	'the replica broke off': lines => `broken off and not repeated, since its route allows no further run; ${attemptText(last(lines, gatewayEvents.attemptFailed))}`,
	'no replica is left for another run': lines => `broken off, and no other replica was left to run it; ${attemptText(last(lines, gatewayEvents.attemptFailed))}`,
	'an event of the stream is missing or came twice': () => 'cut: a replica sent events that do not follow each other',
};

/** What a job's submission came to, by its outcome. */
const submissionOutcomes: Readonly<Record<string, Explain>> = {
	full: (_lines, {fields}) => `refused with 429: ${String(fields.waitingTokens)} tokens wait of ${String(fields.cap)} allowed, and the job has ${String(fields.tokens)}`,
	away: () => 'refused with 503: the object API did not answer, and nothing of the job was written',
	uncertain: () => 'answered 504: the object API did not confirm the record, which may stand',
	tooLarge: () => 'answered 413: the job is larger than an object may be',
	foreign: () => 'answered 404: another account has a job of this id',
	accepted: lines => jobProgress(lines),
};

const countOutcomes = (lines: readonly LogLine[]): string => {
	const counts = new Map<string, number>();
	lines.filter(({event}) => event === gatewayEvents.itemRunEnded.number).forEach(({fields}) => {
		const outcome = textOf(fields.outcome);
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	});
	return [...counts].map(([outcome, count]) => `${count} ${outcome}`).join(', ');
};

const jobProgress = (lines: readonly LogLine[]): string => {
	const submitted = lines.find(({event}) => event === gatewayEvents.jobSubmitted.number);
	const pages = lines.filter(({event, fields}) => event === gatewayEvents.resultsCommitted.number && fields.outcome === 'written');
	const results = pages.reduce((sum, {fields}) => sum + Number(fields.results), 0);
	const lastPage = pages.at(-1);
	const tookMs = lastPage && submitted ? Date.parse(lastPage.time) - Date.parse(submitted.time) : undefined;
	const ended = last(lines, gatewayEvents.jobEnded);
	const holders = [...new Set(lines.filter(({event, fields}) => event === gatewayEvents.jobClaimChanged.number && fields.claimed === true).map(({node}) => node))];
	return [
		`accepted; ${results} of ${String(submitted?.fields.items)} results written${tookMs === undefined ? '' : `, the last ${tookMs} ms after it came`}`,
		`runs of its items: ${countOutcomes(lines) || 'none'}`,
		`run by ${holders.join(', then ') || 'nobody'}`,
		...(ended ? [`its caller ended it (${textOf(ended.fields.outcome)})`] : []),
	].join('; ');
};

const itemOutcomes: Readonly<Record<string, Explain>> = {
	finished: lines => `done; its runs: ${countOutcomes(lines)}`,
	hopeless: () => 'errored: the replica says that it can never be done (422)',
	failed: lines => `its last run failed at the replica; its runs: ${countOutcomes(lines)}`,
	cut: lines => `its last run was cut off for an online call or a shutdown; its runs: ${countOutcomes(lines)}`,
	lost: lines => `the connection of its last run broke, perhaps since its replica ended (event 740); its runs: ${countOutcomes(lines)}`,
	broken: lines => `its last run broke off; its runs: ${countOutcomes(lines)}`,
	declined: lines => `its last run was declined by a replica that was full; its runs: ${countOutcomes(lines)}`,
	unreachable: lines => `its replica could not be reached; its runs: ${countOutcomes(lines)}`,
};

/** Why a caller was not let in, by the reason. */
const callerRefusals: Readonly<Record<string, Explain>> = {
	missing: () => 'answered 401: it carried no API key, and its route needs one',
	unusable: () => 'answered 401: its Authorization header is not one well-formed key',
	unknown: (_lines, {fields}) => `answered 401: no account holds its API key in configuration ${String(fields.configVersion)}`,
	stale: () => 'refused with 503, not run: the process had no word of the configuration for longer than the settings allow for API keys (refuseKeysAfterMs)',
	limit: (_lines, {fields}) => `refused with 429, not run: account ${textOf(fields.account)} was at its rate limit over all processes; told to come back after ${String(fields.retryAfterMs)} ms`,
};

/** The lines that tell an end, the most telling first. */
const ends: ReadonlyArray<{readonly number: number; readonly by: string; readonly table: Readonly<Record<string, Explain>>}> = [
	{number: gatewayEvents.callEnded.number, by: 'reason', table: callReasons},
	{number: gatewayEvents.jobSubmitted.number, by: 'outcome', table: submissionOutcomes},
	{number: gatewayEvents.itemRunEnded.number, by: 'outcome', table: itemOutcomes},
	{number: gatewayEvents.callerRefused.number, by: 'reason', table: callerRefusals},
];

const rejection = (lines: readonly LogLine[]): string | undefined => {
	const rejected = last(lines, gatewayEvents.callRejected);
	const {status, host, target, configVersion, reason} = rejected?.fields ?? {};
	const reasons: Readonly<Record<number, string>> = {
		404: `answered 404: no route for ${textOf(host)}${textOf(target)} in configuration ${String(configVersion)}`,
		503: 'refused with 503: the process knew no configuration yet',
		400: `answered 400: ${textOf(reason)}`,
	};
	return rejected && reasons[Number(status)];
};

const causeOf = (lines: readonly LogLine[]): string | undefined => {
	const told = ends.map(({number, by, table}) => {
		const end = lines.findLast(({event}) => event === number);
		return end && table[textOf(end.fields[by])]?.(lines, end);
	});
	return told.find(text => text !== undefined) ?? rejection(lines);
};

/** @returns The story of an id. */
export const storyOf = (id: string, lines: readonly LogLine[]): Story => {
	const own = lines
		.filter(({fields}) => idFields.some(name => fields[name] === id))
		.toSorted((a, b) => (a.time < b.time ? -1 : 1));
	return {id, lines: own, cause: causeOf(own)};
};
