/**
Finds out what became of an attempt whose connection was lost or went silent, by asking its agent on new connections: takes up the stream where it stopped, or learns from the agent's ledger that the attempt has not begun and never will.
*/
import type {AttemptRequest, LedgerAnswer} from '../common/protocol.js';
import type {ReplicaView} from '../common/replica-table.js';
import type {Clock, EventLog} from '../common/services.js';
import type {AttemptClient, AttemptOutcome, AttemptPlace} from './attempt-client.js';
import {entryEvents} from './log-events.js';

/** An attempt and where it went. */
export type CurrentAttempt = {readonly replica: ReplicaView; readonly attempt: AttemptRequest};

/** What is needed to ask for an attempt. */
export type AskedAttempt = {
	readonly replica: Pick<ReplicaView, 'vm' | 'address'>;
	readonly attempt: Pick<AttemptRequest, 'id' | 'attempt' | 'incarnation' | 'issuedAt' | 'idempotent'>;
};

/** An attempt whose connection was lost. */
export type LostAttempt = {
	readonly current: AskedAttempt;
	readonly place: AttemptPlace;
	/** Chunks received so far. */
	readonly received: () => number;
	/** Milliseconds left until the request's deadline. */
	readonly deadlineInMs: () => number;
	/** The clock's `now` before which an attempt that is not there is taken for one under way. Default: at once. */
	readonly revokeAt?: number;
};

/** What is known in the end. `notRun`: revoked, certainly. `gone`: its answer can not be had; `run` where its agent says that it has begun. */
export type Settlement
	= | Extract<AttemptOutcome, {kind: 'end' | 'refused' | 'failed' | 'aborted'}>
		| {readonly kind: 'notRun'}
		| {readonly kind: 'gone'; readonly reason: string; readonly run: 'run' | 'unknown'};

type Round = Settlement | {readonly kind: 'askAgain'; readonly reason: string; readonly run: 'run' | 'unknown'};

/** How long an agent that does not answer is asked what became of an attempt: of a non-idempotent one before anything else is done, of any other while the request goes on elsewhere. */
const askMs = 3000;
const askPauseMs = 200;

/** What an agent's answer says of an attempt: nothing when the process that had it is gone. */
const stateFor = ({incarnation}: AskedAttempt['attempt'], answer: LedgerAnswer): LedgerAnswer['state'] => answer.incarnation === incarnation ? answer.state : 'unknown';

/** Settles lost attempts. */
export class AttemptRecovery {
	readonly #clock: Clock;
	readonly #log: EventLog;
	readonly #client: AttemptClient;
	readonly #byState: Record<LedgerAnswer['state'], (lost: LostAttempt) => Round> = {
		revoked: ({current: {replica, attempt}}) => {
			this.#log.emit(entryEvents.attemptRevoked, {id: attempt.id, attempt: attempt.attempt, vm: replica.vm});
			return {kind: 'notRun'};
		},
		running: () => ({kind: 'askAgain', reason: 'stream can not be taken up', run: 'run'}),
		done: () => ({kind: 'gone', reason: 'the answer is no longer kept', run: 'run'}),
		unknown: () => ({kind: 'gone', reason: 'ledger has no record', run: 'unknown'}),
	};

	constructor({clock, log, client}: {readonly clock: Clock; readonly log: EventLog; readonly client: AttemptClient}) {
		this.#clock = clock;
		this.#log = log;
		this.#client = client;
	}

	/**
	Asks until the attempt is settled. Gives up on an idempotent one after a round without progress, since another replica can answer it; on others after a few seconds.
	*/
	async settle(lost: LostAttempt): Promise<Settlement> {
		const patienceMs = lost.current.attempt.idempotent ? 0 : Math.min(askMs, lost.deadlineInMs());
		let until = this.#clock.now() + patienceMs;
		let received = lost.received();
		let round = await this.#round(lost);
		while (round.kind === 'askAgain') {
			// A connection that brought something before it was lost, too, begins the wait anew.
			until = lost.received() > received ? this.#clock.now() + patienceMs : until;
			if (lost.received() === received && this.#clock.now() >= until) {
				return {kind: 'gone', reason: round.reason, run: round.run};
			}

			received = lost.received();
			await this.#clock.sleep(askPauseMs);
			round = await this.#round(lost);
		}

		return round;
	}

	/**
	Asks once whether an attempt has begun, and revokes it when it has not; for a request whose deadline has passed.

	@returns The ledger's state; `unknown` when the agent does not answer or was restarted.
	*/
	async revoke({replica, attempt}: CurrentAttempt): Promise<LedgerAnswer['state']> {
		const answer = await this.#client.revoke(replica.address, attempt, {deadlineInMs: 0});
		return answer.map(found => stateFor(attempt, found)).orDefault('unknown');
	}

	/**
	Goes on asking what became of an attempt whose request is served elsewhere meanwhile. One that has not begun is revoked, and one that runs must be stopped: a request that makes engines crash would otherwise take down another one for nobody.

	@param deadlineInMs - Milliseconds left until the request's deadline.
	@returns The ledger's state; `unknown` when the agent does not answer within some seconds or was restarted.
	*/
	async followUp({replica: {vm, address}, attempt}: CurrentAttempt, deadlineInMs: number): Promise<LedgerAnswer['state']> {
		const until = this.#clock.now() + askMs;
		let answer = await this.#client.revoke(address, attempt, {deadlineInMs, timeoutMs: askMs});
		while (answer.isLeft() && this.#clock.now() < until) {
			await this.#clock.sleep(askPauseMs);
			answer = await this.#client.revoke(address, attempt, {deadlineInMs, timeoutMs: askMs});
		}

		const state = answer.map(found => stateFor(attempt, found)).orDefault('unknown');
		this.#log.emit(entryEvents.attemptFollowedUp, {
			id: attempt.id, attempt: attempt.attempt, vm, state,
		});
		return state;
	}

	/**
	Stops an attempt that runs for nobody.

	@returns Whether its run was stopped; otherwise it may have ended by itself before.
	*/
	async stop({replica: {address}, attempt}: CurrentAttempt): Promise<boolean> {
		return this.#client.cancel(address, attempt);
	}

	async #round(lost: LostAttempt): Promise<Round> {
		const {current: {replica, attempt}, place} = lost;
		const outcome = await this.#client.resume(attempt, lost.received(), place);
		if (outcome.kind === 'noStream') {
			return this.#clock.now() < (lost.revokeAt ?? 0) ? {kind: 'askAgain', reason: 'not there yet', run: 'unknown'} : this.#ask(lost);
		}

		if (outcome.kind === 'lost' || outcome.kind === 'notSent') {
			return {kind: 'askAgain', reason: `agent does not answer (${outcome.reason})`, run: 'unknown'};
		}

		this.#log.emit(entryEvents.attemptResumed, {
			id: attempt.id, attempt: attempt.attempt, vm: replica.vm, outcome: outcome.kind,
		});
		return outcome;
	}

	// No stream to take up: the ledger says whether the attempt began, and makes sure that it does not begin later.
	async #ask(lost: LostAttempt): Promise<Round> {
		const {current: {replica, attempt}} = lost;
		const answer = await this.#client.revoke(replica.address, attempt, {deadlineInMs: lost.deadlineInMs()});
		return answer.caseOf<Round>({
			Left: ({reason}) => ({kind: 'askAgain', reason, run: 'unknown'}),
			// The process that had the attempt is gone, and with it the knowledge of whether it ran.
			Right: ({state, incarnation}) => incarnation === attempt.incarnation
				? this.#byState[state](lost)
				: {kind: 'gone', reason: 'agent restarted', run: 'unknown'},
		});
	}
}
