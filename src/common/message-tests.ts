/**
Tests of the parameters that nodes send each other, by method. A peer of another version, or another process at a peer's old address, may send anything; what is taken unchecked breaks much later, when it is read: a count that is no object in the sums for a third node, a fencing number that is no number in each comparison after it.
*/
import {
	isAmount, isCount, isFlag, isObject, isString, isText, listOf, objectOf, oneOf, optional, type FieldTest,
} from './field-tests.js';

const attemptKey = objectOf({id: isText, attempt: isCount});
const chunkKey = objectOf({jobId: isText, chunk: isCount});
const areCounts = listOf(objectOf({version: isCount, nodes: isCount}));

const areFailedRuns = listOf(objectOf({run: isText, item: isText, replica: isText}));

/** What is known of a batch item between its runs, also where it is written into the object API. */
export const isItemProgress = objectOf({id: isText, events: listOf(isString), failedRuns: areFailedRuns});
const isItemResult = objectOf({id: isText, state: oneOf('completed', 'errored'), output: isString});

const chunkGrant = objectOf({
	jobId: isText, chunk: isCount, inputName: isText, results: isText, fileId: isText, endpoint: isText, model: isText, account: isText, share: isAmount, fence: isCount, expiresInMs: isAmount, isolate: isFlag, round: isCount,
});

/** The tests of all methods between nodes that take parameters. */
export const messageTests: Readonly<Record<string, FieldTest>> = {
	'config.changes': objectOf({
		node: isText, since: isCount, waitMs: isAmount, scope: optional(objectOf({kinds: optional(listOf(isText)), name: optional(isText)})), counts: optional(areCounts), wantsDigest: optional(isFlag),
	}),
	'config.counts': optional(isObject),
	'gateway.holdJob': objectOf({record: isObject, content: isObject}),
	'gateway.objectCall': objectOf({operation: oneOf('get', 'create', 'update', 'remove', 'list', 'watch'), kind: isText}),
	'gateway.takeOver': objectOf({job: isText, items: listOf(isItemProgress), results: listOf(isItemResult)}),
	'gateway.state': objectOf({
		member: isText, address: isText, rpcAddress: isText, reachesObjectApi: isFlag, startedAt: isAmount, seq: isCount, isLeaving: isFlag, loads: listOf(objectOf({
			replica: isText, startedAt: optional(Number.isSafeInteger), online: isCount, batch: isCount,
		})), outcomes: optional(listOf(objectOf({
			replica: isText, startedAt: optional(Number.isSafeInteger), requests: isAmount, failures: isAmount,
		}))), crashes: optional(listOf(objectOf({content: isText, start: isText}))), acquitted: optional(listOf(isText)), failedRuns: optional(areFailedRuns), accountUsage: optional(listOf(objectOf({account: isText, admitted: Number.isSafeInteger, asked: isCount}))), checks: optional(listOf(objectOf({kind: isText, changedAt: isCount, ageMs: isAmount}))), jobs: listOf(isText), waiting: optional(listOf(objectOf({route: isText, timely: isCount, late: isCount}))),
	}),
	'agent.load': objectOf({cacheSince: optional(isCount)}),
	'ledger.revoke': objectOf({key: attemptKey, issuedAt: isAmount, deadlineInMs: Number.isFinite}),
	'attempt.cancel': objectOf({key: attemptKey}),
	'batch.grant': objectOf({shard: isText, grant: chunkGrant}),
	'batch.renew': objectOf({
		shard: isText, fence: isCount, round: isCount, expiresInMs: isAmount, keep: value => oneOf('all')(value) || listOf(chunkKey)(value),
	}),
};
