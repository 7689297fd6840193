/**
The gateway's own end of a call that no replica has answered completely: 503 if no replica can have run it, 502 or 504 if one may have, and a broken connection once part of an answer has been forwarded.
*/
import type {RateCredit} from '../accounts/rate-limits.js';
import type {CallerAnswer} from './caller-answer.js';
import type {NoReplicaReason} from './replica-offers.js';

/** Why a call is offered to no further replica. */
export type GiveUpReason = NoReplicaReason | 'quarantined' | 'shutdown';

/** Why a call that may have run is not run again, unless no replica is left. */
const failureReasons: Readonly<Partial<Record<GiveUpReason, string>>> = {
	quarantined: 'it has ended the replicas that ran it',
	shutdown: 'shutdown',
};

/** Dependencies. */
export type FinalAnswerParts = {
	readonly answer: CallerAnswer;
	/** What the call has taken of its account's rate limit. */
	readonly credit: RateCredit | undefined;
	/** Whether any replica may have started to run the call. */
	readonly mayHaveRun: () => boolean;
	/** Called when the caller has got its answer; status 0 for a broken connection. */
	readonly onEnd: (status: number, reason: string) => void;
};

/** See the module's head. */
export class FinalAnswer {
	readonly #parts: FinalAnswerParts;

	constructor(parts: FinalAnswerParts) {
		this.#parts = parts;
	}

	/** Ends a call that is offered to no further replica. A refusal states that the call has not run, so it is not used once any replica may have run it, even if that replica has terminated since. */
	giveUp(reason: GiveUpReason, retryDelayMs: number): void {
		if (this.#parts.mayHaveRun()) {
			this.fail(failureReasons[reason] ?? 'no replica is left for another run');
			return;
		}

		this.refuse(reason, retryDelayMs);
	}

	/** States that the call has not run and will not run. */
	refuse(reason: string, retryDelayMs: number): void {
		const {answer, credit} = this.#parts;
		if (answer.hasBegun) {
			this.cut(reason);
			return;
		}

		credit?.refund();
		this.#reply(503, reason, {'retry-after': String(Math.ceil(retryDelayMs) / 1000)});
	}

	/** The request is one that no replica can be sent. */
	reject(reason: string): void {
		this.#parts.credit?.refund();
		this.#replyOrCut(400, reason);
	}

	/** Ends the call after an error in its handling, in whatever state the answer is. */
	abandon(): void {
		try {
			this.fail('its handling broke an invariant');
		} catch {
			this.cut('its handling broke an invariant, and no answer could be written');
		}
	}

	/** States nothing of whether the call has run. */
	fail(reason: string): void {
		this.#replyOrCut(502, reason);
	}

	timeOut(): void {
		this.#replyOrCut(504, this.#parts.answer.hasBegun ? 'time is up within the answer' : 'time is up');
	}

	/** Part of the answer has been forwarded; only a broken connection shows the caller that the rest will not follow. */
	cut(reason: string): void {
		this.#parts.answer.cut();
		this.#parts.onEnd(0, reason);
	}

	#replyOrCut(status: number, reason: string) {
		if (this.#parts.answer.hasBegun) {
			this.cut(reason);
			return;
		}

		this.#reply(status, reason);
	}

	#reply(status: number, reason: string, headers: Readonly<Record<string, string>> = {}) {
		this.#parts.answer.reply(status, headers);
		this.#parts.onEnd(status, reason);
	}
}
