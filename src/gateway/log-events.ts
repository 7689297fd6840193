/**
The gateway's log events, numbered 700 to 799. Operators' alerts match the numbers, so a number is never reused.
*/
import type {EventDefinition} from '../common/types.js';

export const gatewayEvents = {
	/** Fields: id, route, replica, softwareVersion, resumedId (the caller's attempt that brought the first event), online, batch (in flight there), attempt, resumeAfter, expectedMs (until the first token), pace (time of a request there relative to the usual one), paceAgeMs (since an event of the replica was last observed), heardMs (age of the cached registrations), missedMs (how long the replica's own has been missing). */
	callRouted: {number: 700, level: 'info', text: 'replica chosen for a call'},
	/** Fields: id, replica, kind, reason or status, content, promptParts (all but the last), chunks and answeringMs (of the answer received). */
	attemptFailed: {number: 701, level: 'info', text: 'attempt at a replica ended without a complete answer'},
	/** Fields: id, route, status (sent to the caller), reason, elapsedMs, firstByteMs, offers, runs, lastEnd; content, where an attempt has failed; heldParts, by which it was held back. */
	callEnded: {number: 702, level: 'info', text: 'call ended'},
	/** Fields: id, host, target, status, reason, configVersion. */
	callRejected: {
		number: 703, level: 'info', text: 'call rejected before it was routed', isRefusal: true,
	},
	/** Fields: id, route, account, reason (of a key), status, retryAfterMs, configVersion. */
	callerRefused: {
		number: 704, level: 'info', text: 'call refused by its API key or its account\'s rate limit', isRefusal: true,
	},
	/** Fields: account, refused (since the last line), level (calls that may be made at once), admitted and asked (at this process, since its start), perSecond, burst. */
	rateLimitReached: {number: 705, level: 'info', text: 'account has reached its rate limit'},
	/** Fields: account, version, reason. */
	accountUnreadable: {number: 706, level: 'error', text: 'client account cannot be read or shares a key; its calls are refused'},
	/** Fields: id, replica, status and contentType (of this run's own answer; status 0 without one), isFramed, softwareVersion, resumeAfter, lastEventId (last event sent to the caller), outcome. */
	rerunEnded: {number: 707, level: 'info', text: 'second or later run of a call ended'},
	/** Fields: id, holder (the replica with the copy), isUsable (whether it takes work), lastEventId (last event sent to the caller), online (calls in flight there). */
	copyTaken: {number: 761, level: 'info', text: 'run is to go on from its copy'},
	/** Fields: version, routes, services, accounts. */
	configInForce: {number: 710, level: 'info', text: 'configuration in force'},
	/** Fields: name, reason. */
	configUnreadable: {number: 711, level: 'error', text: 'configuration cannot be read; the previous one stays in force'},
	/** Fields: name, reason. */
	registrationUnreadable: {number: 737, level: 'warn', text: 'registration cannot be read and is not used'},
	/** Fields: replica, service, address, softwareVersion, change, missedMs (how long it was retained without a registration). */
	replicaChanged: {number: 712, level: 'info', text: 'replica registered, changed or removed'},
	/** Fields: replica, isReachable, silentMs, limitMs. */
	replicaSuspected: {number: 738, level: 'info', text: 'replica is unresponsive; a connection was attempted'},
	/** Fields: replica. */
	replicaReachable: {number: 739, level: 'info', text: 'replica is reachable again'},
	/** Fields: replica, content, promptParts, chunks and answeringMs (as of a failed attempt) of a request that it was running; one line each. */
	replicaTerminated: {number: 740, level: 'warn', text: 'replica terminated: a connection broke within a request and no new one is accepted'},
	/** Fields: content, crashes, heldMs. */
	contentQuarantined: {number: 741, level: 'warn', text: 'request quarantined: replicas that ran it have terminated'},
	/** Fields: content, reason. */
	contentReleased: {number: 742, level: 'info', text: 'request released from quarantine'},
	/** Fields: content, reason. */
	quarantineSyncFailed: {number: 743, level: 'warn', text: 'quarantine record could not be written, read or removed; this is retried'},
	/** Fields: replica, graceMs. */
	registrationMissing: {number: 713, level: 'info', text: 'registration missing after an outage; replica retained for the grace period'},
	/** Fields: kind, reason. */
	feedLost: {number: 714, level: 'warn', text: 'object API does not answer; cached objects stay in use'},
	/** Fields: kind, revision, awayMs, lateMs (since the first answer to any call of this process after the outage). */
	feedRegained: {number: 715, level: 'info', text: 'object API answers again'},
	/** Fields: kind, ageMs (since the objects were last confirmed), isKnown (whether they were read in time), waitedMs. */
	feedRefreshed: {number: 744, level: 'info', text: 'objects exceeded their maximum age; dispatch waited for a read'},
	/** Fields: reason, peers (that can relay calls). */
	objectApiRelayed: {number: 731, level: 'warn', text: 'object API is unreachable from here; calls are relayed by peers'},
	/** No fields. */
	objectApiDirect: {number: 732, level: 'info', text: 'object API is reachable from here again'},
	/** Fields: peer, address. */
	peerJoined: {number: 716, level: 'info', text: 'peer joined'},
	/** Fields: peer, silentMs. */
	peerUnresponsive: {number: 717, level: 'warn', text: 'peer is unresponsive; other processes may claim its jobs'},
	/** Fields: ready, reason, and the state of the service; see `ServiceMonitor`. */
	readinessChanged: {number: 718, level: 'info', text: 'readiness changed'},
	/** Fields: member, reason. */
	memberWriteFailed: {number: 719, level: 'warn', text: 'own member record, by which peers find this process, could not be written'},
	/** Fields: id, route, items, tokens, waitingTokens, cap, outcome, isHeld, elapsedMs. */
	jobSubmitted: {number: 720, level: 'info', text: 'batch job submitted'},
	/** Fields: id, outcome. */
	jobEnded: {number: 721, level: 'info', text: 'end of a batch job requested'},
	/** Fields: job, item, replica, softwareVersion, resumeAfter, dueInMs, heardMs and missedMs (as of a call). */
	itemStarted: {number: 722, level: 'info', text: 'batch item sent to a replica'},
	/** Fields: job, item, replica, outcome, events, reason, elapsedMs. */
	itemRunEnded: {number: 723, level: 'info', text: 'run of a batch item ended'},
	/** Fields: job, page, results, bytes (of results that could not be written), outcome. */
	resultsCommitted: {number: 724, level: 'info', text: 'results of a batch job written'},
	/** Fields: job, claimed. */
	jobClaimChanged: {number: 725, level: 'info', text: 'batch job claimed or released by this process'},
	/** Fields: job, to (missing if the job was written to the object API), items, results. */
	jobHandedOver: {number: 728, level: 'info', text: 'batch job handed over to the process that runs it next'},
	/** Fields: job, item, ownEvents and handedOverEvents (received here, and by the process that handed the job over), isRunning, from (whose text the next run continues). */
	itemTextReceived: {number: 729, level: 'info', text: 'text of a batch item handed over'},
	/** Fields: job, reason. */
	jobRemoved: {number: 726, level: 'info', text: 'records of a batch job removed'},
	/** Fields: id, status, reason. */
	jobReadFailed: {
		number: 727, level: 'info', text: 'batch job could not be read', isRefusal: true,
	},
	/** Fields: id, items. */
	jobHeld: {number: 733, level: 'info', text: 'batch job held on disk until the object API accepts it'},
	/** Fields: id, isGone, reason. */
	jobHoldFailed: {number: 734, level: 'error', text: 'batch job could not be held on disk'},
	/** Fields: id, reason. */
	heldJobRemovalFailed: {number: 736, level: 'error', text: 'file of a batch job that the object API has stored could not be removed'},
	/** Fields: reason. */
	heldJobUnreadable: {number: 768, level: 'error', text: 'file of a held batch job could not be read; the process serves without it'},
	/** Fields: id. */
	heldJobWritten: {number: 735, level: 'info', text: 'held batch job written to the object API'},
	/** Fields: id, reason. */
	heldJobRefused: {number: 764, level: 'error', text: 'held batch job is refused by the object API for good; it stays on disk'},
	/** Fields: name, outcome. */
	retirementAnswered: {number: 730, level: 'info', text: 'retirement request of a storage VM answered'},
	/** Fields: id, resumedId, outcome (own, peer, inferred or unknown), softwareVersion, waitedMs. */
	originSearched: {number: 745, level: 'info', text: 'version at which a resumed stream began was looked up'},
	/** Fields: holder (its address), streams, sends. */
	originsUnconfirmed: {number: 746, level: 'info', text: 'peer did not confirm the origins of streams'},
	/** Fields: job, item, events (dropped), softwareVersion (that generated them), blockedMs. */
	itemRestarted: {number: 747, level: 'info', text: 'batch item is run from the start, since no replica of its version has a slot'},
	/** Fields: job, item, runMs (that it still has to run), dueInMs, msToRise (0 within a wave) and msToFall (of the foreseen wave), sureness and ageMs (of the forecast). */
	itemHeld: {number: 762, level: 'info', text: 'batch item waits until a foreseen wave of online calls is over'},
	/** Fields: job, item, replica, cause (calls or foreseen), events, timesCut (before), online (calls in flight there), slots, msToRise, sureness and ageMs (of the forecast, if there is one). */
	itemCut: {number: 763, level: 'info', text: 'run of a batch item cut for online calls'},
	/** Fields: parts (one of them is the cause), crashes (at different moments), isCertain, trials, heldMs, replicas (starts of those that crashed, and the trials). */
	partQuarantined: {number: 748, level: 'warn', text: 'prompt parts quarantined: replicas have crashed at the beginning of answers to requests with them'},
	/** Fields: part, reason. */
	partReleased: {number: 749, level: 'info', text: 'prompt part released from quarantine'},
	/** Fields: parts. */
	partTested: {number: 750, level: 'info', text: 'request sent as the test of quarantined prompt parts'},
	/** Fields: trial. */
	partTestWithdrawn: {number: 751, level: 'info', text: 'test of quarantined prompt parts has shown nothing; another request may test them'},
	/** Fields: id, route, account, rank, outcome (waited, late or refused), reason and retryAfterMs (of a refusal), waitMs (expected, for a slot), elapsedMs (since its arrival), targetMs, isReturned, isOutranked, isScarce, share and running (calls in flight that its owner may have and has), demandAgeMs (oldest announcement behind the share). */
	admissionDecided: {number: 760, level: 'info', text: 'call waited for its admission, began late or was refused'},
	/** Fields: kind (call, item or request), id, reason, stack. */
	requestDefect: {number: 791, level: 'error', text: 'handling of a request broke an invariant; the request was ended alone'},
	/** Fields: phase (removal, closing or end; see docs/design/shutdown.md), calls (in progress), connections, leftMs. */
	shutdownPhase: {number: 765, level: 'info', text: 'shutdown has reached a phase'},
	/** Fields: address (of the replica), reason, stack. */
	connectionDefect: {number: 792, level: 'error', text: 'HTTP library broke an invariant on a connection to a replica; the connection was ended alone'},
	/** Fields: listenMs, configMs, replicasMs, readyMs, servedMs (since the process composed its parts). */
	firstCallServed: {number: 766, level: 'info', text: 'first call served; stages of the start'},
	/** Fields: waitedMs (for which each turn of the event loop accepted one), calls, connections (open). */
	acceptQueueReset: {number: 769, level: 'warn', text: 'connections waited too long to be accepted and were reset'},
	/** Fields: reasons (calls by how they ended), cpuShare and loopDelayMs (of the last second), and the state of the service. */
	serviceImpaired: {number: 767, level: 'warn', text: 'many calls of the last second were not answered'},
	/** Fields: reason. */
	handlerFailed: {number: 790, level: 'error', text: 'handler of a peer\'s call broke an invariant'},
} as const satisfies Record<string, EventDefinition>;
