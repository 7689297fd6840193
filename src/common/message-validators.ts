/**
Validators of the parameters of messages between nodes, by method. A peer of another version, or another process at a peer's old address, may send anything; an unchecked value fails much later, when it is read: a count that is not an object in the sums of a third node, a fencing number that is not a number in each comparison after it.
*/
import {
	isNonNegativeNumber, isNonNegativeInteger, isBoolean, isObject, isString, isNonEmptyString, listOf, objectOf, oneOf, optional, type FieldValidator,
} from './field-validators.js';

const attemptKey = objectOf({id: isNonEmptyString, attempt: isNonNegativeInteger});
const chunkKey = objectOf({jobId: isNonEmptyString, chunk: isNonNegativeInteger});
const areInForceCounts = listOf(objectOf({version: isNonNegativeInteger, nodes: isNonNegativeInteger}));

const areFailedRuns = listOf(objectOf({run: isNonEmptyString, item: isNonEmptyString, replica: isNonEmptyString}));

/** The state of a batch item between its runs, also as it is stored in the object API. */
export const isItemProgress = objectOf({
	id: isNonEmptyString, events: listOf(isString), softwareVersion: optional(isString), failedRuns: areFailedRuns,
});
const isItemResult = objectOf({id: isNonEmptyString, state: oneOf('completed', 'errored'), output: isString});

const chunkGrant = objectOf({
	jobId: isNonEmptyString, chunk: isNonNegativeInteger, inputName: isNonEmptyString, results: isNonEmptyString, fileId: isNonEmptyString, endpoint: isNonEmptyString, model: isNonEmptyString, account: isNonEmptyString, share: isNonNegativeNumber, fence: isNonNegativeInteger, expiresInMs: isNonNegativeNumber, isolate: isBoolean, round: isNonNegativeInteger,
});

const areSharedLoads = listOf(objectOf({
	replica: isNonEmptyString, startedAt: optional(Number.isSafeInteger), online: isNonNegativeInteger, batch: isNonNegativeInteger,
}));
const areJobs = listOf(isNonEmptyString);
const areWaiting = listOf(objectOf({route: isNonEmptyString, timely: isNonNegativeInteger, late: isNonNegativeInteger}));

/** Sections of a gateway process's state that only some messages contain. */
const stateSections = {
	outcomes: optional(listOf(objectOf({
		replica: isNonEmptyString, startedAt: optional(Number.isSafeInteger), requests: isNonNegativeNumber, failures: isNonNegativeNumber,
	}))),
	crashes: optional(listOf(objectOf({content: isNonEmptyString, start: isNonEmptyString}))),
	acquitted: optional(listOf(isNonEmptyString)),
	partCrashes: optional(listOf(objectOf({
		start: isNonEmptyString, parts: listOf(isNonEmptyString), seenBy: isNonEmptyString, agoMs: isNonNegativeNumber,
	}))),
	clearedParts: optional(listOf(objectOf({part: isNonEmptyString, agoMs: isNonNegativeNumber}))),
	withdrawnTrials: optional(listOf(isNonEmptyString)),
	failedRuns: optional(areFailedRuns),
	accountUsage: optional(listOf(objectOf({account: isNonEmptyString, admitted: Number.isSafeInteger, asked: isNonNegativeInteger}))),
	checks: optional(listOf(objectOf({kind: isNonEmptyString, changedAt: isNonNegativeInteger, ageMs: isNonNegativeNumber}))),
	paces: optional(listOf(objectOf({
		replica: isNonEmptyString, startedAt: optional(Number.isSafeInteger), msPerEvent: isNonNegativeNumber, events: isNonNegativeNumber,
	}))),
	demand: optional(listOf(objectOf({
		service: isNonEmptyString, owner: isNonEmptyString, rank: optional(isNonNegativeNumber), running: isNonNegativeInteger, perSecond: isNonNegativeNumber,
	}))),
	forecasts: optional(listOf(objectOf({service: isNonEmptyString, perSecond: listOf(isNonNegativeNumber)}))),
	unreachable: optional(listOf(objectOf({replica: isNonEmptyString, startedAt: optional(Number.isSafeInteger)}))),
};

/** Validators of all methods between nodes that take parameters. */
export const messageValidators: Readonly<Record<string, FieldValidator>> = {
	'config.changes': objectOf({
		node: isNonEmptyString, since: isNonNegativeInteger, waitMs: isNonNegativeNumber, scope: optional(objectOf({kinds: optional(listOf(isNonEmptyString)), name: optional(isNonEmptyString)})), counts: optional(areInForceCounts), wantsDigest: optional(isBoolean),
	}),
	'config.counts': optional(isObject),
	'gateway.findOrigin': objectOf({key: optional(isNonEmptyString), services: listOf(isNonEmptyString), periodMs: isNonNegativeNumber}),
	'gateway.origins': objectOf({
		from: isNonEmptyString, seq: isNonNegativeInteger, origins: listOf(objectOf({
			key: isNonEmptyString, service: isNonEmptyString, softwareVersion: isString, run: isNonNegativeInteger, keepMs: isNonNegativeNumber,
		})),
	}),
	'gateway.originsKept': objectOf({seq: isNonNegativeInteger}),
	'gateway.holdJob': objectOf({record: isObject, content: isObject}),
	'gateway.objectCall': objectOf({operation: oneOf('get', 'create', 'update', 'remove', 'list', 'watch'), kind: isNonEmptyString}),
	'gateway.takeOver': objectOf({job: isNonEmptyString, items: listOf(isItemProgress), results: listOf(isItemResult)}),
	'gateway.state': objectOf({
		...stateSections, member: isNonEmptyString, address: isNonEmptyString, rpcAddress: isNonEmptyString, failureDomain: optional(isString), reachesObjectApi: isBoolean, keepsOrigins: optional(isBoolean), readsChanges: optional(isBoolean), startedAt: isNonNegativeNumber, seq: isNonNegativeInteger, isLeaving: isBoolean, loads: areSharedLoads, jobs: areJobs, waiting: optional(areWaiting),
	}),
	'gateway.stateChanges': objectOf({
		...stateSections, member: isNonEmptyString, startedAt: isNonNegativeNumber, seq: isNonNegativeInteger, isLeaving: optional(isBoolean), reachesObjectApi: optional(isBoolean), loads: areSharedLoads, jobs: optional(areJobs), waiting: optional(areWaiting),
	}),
	'agent.load': objectOf({cacheSince: optional(isNonNegativeInteger)}),
	'ledger.revoke': objectOf({key: attemptKey, issuedAt: isNonNegativeNumber, deadlineInMs: Number.isFinite}),
	'attempt.cancel': objectOf({key: attemptKey}),
	'batch.grant': objectOf({shard: isNonEmptyString, grant: chunkGrant}),
	'batch.renew': objectOf({
		shard: isNonEmptyString, fence: isNonNegativeInteger, round: isNonNegativeInteger, expiresInMs: isNonNegativeNumber, keep: value => oneOf('all')(value) || listOf(chunkKey)(value),
	}),
};
