/**
The gateway's numbered events, 700 to 799.
*/
import type {EventDefinition} from '../common/types.js';

export const gatewayEvents = {
	/** Fields: id, route, replica, online, batch (in flight there), attempt, resumeAfter, heardMs (age of what is known of the registrations), missedMs (since when the replica's own is missing). */
	callRouted: {number: 700, level: 'info', text: 'replica chosen for a call'},
	/** Fields: id, replica, kind, reason or status, content (the same for the same request under another id). */
	attemptFailed: {number: 701, level: 'info', text: 'attempt at a replica ended without a whole answer'},
	/** Fields: id, route, status (that the caller got), reason, elapsedMs, firstByteMs, offers, runs, lastEnd; content, where an attempt has failed. */
	callEnded: {number: 702, level: 'info', text: 'call ended'},
	/** Fields: id, host, target, status, reason, configVersion. */
	callRejected: {number: 703, level: 'info', text: 'call rejected before it was routed'},
	/** Fields: id, route, account, reason (of a key), status, retryAfterMs, configVersion. */
	callerRefused: {number: 704, level: 'info', text: 'call refused by its API key or its account\'s rate limit'},
	/** Fields: account, refused (since the last line), level (calls that may come at once), admitted and asked (here, since the start), perSecond, burst. */
	rateLimitReached: {number: 705, level: 'info', text: 'account is at its rate limit'},
	/** Fields: account, version, reason. */
	accountUnreadable: {number: 706, level: 'error', text: 'client account can not be read, or shares a key; its calls are refused'},
	/** Fields: id, replica, status and contentType (of this run's own answer; 0 without one), isFramed, resumeAfter, lastEventId (the caller's by now), outcome. */
	rerunEnded: {number: 707, level: 'info', text: 'a run after the first one of a call ended'},
	/** Fields: version, routes, services, accounts. */
	configInForce: {number: 710, level: 'info', text: 'configuration in force'},
	/** Fields: name, reason. */
	configUnreadable: {number: 711, level: 'error', text: 'configuration can not be read, the one before stays in force'},
	/** Fields: name, reason. */
	registrationUnreadable: {number: 737, level: 'warn', text: 'registration can not be read, it names no replica'},
	/** Fields: replica, service, address, change, missedMs (for how long it was kept without a registration). */
	replicaChanged: {number: 712, level: 'info', text: 'replica registered, changed or gone'},
	/** Fields: replica, isReachable, silentMs, limitMs. */
	replicaSuspected: {number: 738, level: 'info', text: 'replica is silent, a connection was tried'},
	/** Fields: replica. */
	replicaReachable: {number: 739, level: 'info', text: 'replica can be reached again'},
	/** Fields: replica, content (what it was running; one line for each request). */
	replicaTerminated: {number: 740, level: 'warn', text: 'a connection broke within a request and the replica takes none any more, so it has ended'},
	/** Fields: content, crashes, heldMs. */
	contentQuarantined: {number: 741, level: 'warn', text: 'a request has ended the replicas that ran it and is held back'},
	/** Fields: content, reason. */
	contentReleased: {number: 742, level: 'info', text: 'a request is no longer held back'},
	/** Fields: content, reason. */
	quarantineSyncFailed: {number: 743, level: 'warn', text: 'what is held back could not be written, read or removed; it is tried again'},
	/** Fields: replica, graceMs. */
	registrationMissing: {number: 713, level: 'info', text: 'registration missing after an outage, kept for now'},
	/** Fields: kind, reason. */
	feedLost: {number: 714, level: 'warn', text: 'object API does not answer, what is known is kept'},
	/** Fields: kind, revision, awayMs, lateMs (since it has answered any call of this process again). */
	feedRegained: {number: 715, level: 'info', text: 'object API answers again'},
	/** Fields: kind, ageMs (since what is known was confirmed), isKnown (whether it was read in time), waitedMs. */
	feedRefreshed: {number: 744, level: 'info', text: 'objects were too old to send work by, and were read again'},
	/** Fields: reason, peers (that can help). */
	objectApiRelayed: {number: 731, level: 'warn', text: 'object API does not answer here, calls go by way of peers'},
	/** No fields. */
	objectApiDirect: {number: 732, level: 'info', text: 'object API answers here again'},
	/** Fields: peer, address. */
	peerJoined: {number: 716, level: 'info', text: 'peer heard'},
	/** Fields: peer, silentMs. */
	peerUnresponsive: {number: 717, level: 'warn', text: 'peer is silent, its jobs are open to others'},
	/** Fields: ready, reason. */
	readinessChanged: {number: 718, level: 'info', text: 'readiness changed'},
	/** Fields: member, reason. */
	memberWriteFailed: {number: 719, level: 'warn', text: 'own address could not be written for peers to find'},
	/** Fields: id, route, items, tokens, waitingTokens, cap, outcome, isHeld, elapsedMs. */
	jobSubmitted: {number: 720, level: 'info', text: 'batch job submitted'},
	/** Fields: id, outcome. */
	jobEnded: {number: 721, level: 'info', text: 'end of a batch job asked for'},
	/** Fields: job, item, replica, resumeAfter, dueInMs, heardMs and missedMs (as of a call). */
	itemStarted: {number: 722, level: 'info', text: 'batch item sent to a replica'},
	/** Fields: job, item, replica, outcome, events, reason, elapsedMs. */
	itemRunEnded: {number: 723, level: 'info', text: 'run of a batch item ended'},
	/** Fields: job, page, results, outcome. */
	resultsCommitted: {number: 724, level: 'info', text: 'results of a batch job written'},
	/** Fields: job, claimed. */
	jobClaimChanged: {number: 725, level: 'info', text: 'batch job is run by this process, or no longer'},
	/** Fields: job, to (nobody: written into the object API), items, results. */
	jobHandedOver: {number: 728, level: 'info', text: 'batch job handed over to the process that runs it next'},
	/** Fields: job, item, ownEvents and handedOverEvents (known here, and by the process that has left the job), isRunning, from (whose text the next run goes on from). */
	itemTextReceived: {number: 729, level: 'info', text: 'text of a batch item handed over'},
	/** Fields: job, reason. */
	jobRemoved: {number: 726, level: 'info', text: 'records of a batch job removed'},
	/** Fields: id, status, reason. */
	jobReadFailed: {number: 727, level: 'info', text: 'batch job could not be read'},
	/** Fields: id, items. */
	jobHeld: {number: 733, level: 'info', text: 'batch job held on disk until the object API takes it'},
	/** Fields: id, isGone, reason. */
	jobHoldFailed: {number: 734, level: 'error', text: 'batch job could not be held on disk'},
	/** Fields: id, reason. */
	heldJobRemovalFailed: {number: 736, level: 'error', text: 'file of a batch job that stands in the object API could not be removed'},
	/** Fields: id. */
	heldJobWritten: {number: 735, level: 'info', text: 'held batch job stands in the object API'},
	/** Fields: name, outcome. */
	retirementAnswered: {number: 730, level: 'info', text: 'storage VM may be taken away'},
	/** Fields: reason. */
	handlerFailed: {number: 790, level: 'error', text: 'the handler of a peer\'s call broke an invariant'},
} as const satisfies Record<string, EventDefinition>;
