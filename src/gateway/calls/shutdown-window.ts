/**
The time that a process has left once it shuts down, and what may still begin in it. The rule for each phase, and why, is in docs/design/shutdown.md.
*/
import type {Clock} from '../../common/services.js';

/** Time until the load balancer stops sending new connections, in milliseconds. It checks readiness once a second and removes a process after two refusals; calls until then are served as before. */
export const balancerRemovalMs = 2600;

/** Time that a request about a batch job may take, in milliseconds: longer than a submission needs to write its record. */
const jobRequestMs = 2000;

/** A run that is about to begin. Times are in milliseconds; moments on the monotonic clock. */
export type PlannedRun = {
	readonly callArrivedAt: number;
	/** When the call's time limit ends. */
	readonly callEndsAt: number;
	/** Whether being cut off costs the call only time: it may be repeated, or goes on from a copy. */
	readonly isRecoverable: boolean;
	/** Mean time for which calls of its service run; `undefined` if it is not known yet. */
	readonly usualMs: number | undefined;
};

/** See the module's head. */
export class ShutdownWindow {
	readonly #clock: Pick<Clock, 'now'>;
	#closingAt = Infinity;
	#endsAt = Infinity;

	constructor(clock: Pick<Clock, 'now'>) {
		this.#clock = clock;
	}

	/** Whether the balancer has removed this process, so that further calls can only come on connections that callers have kept. */
	get isClosing(): boolean {
		return this.#clock.now() >= this.#closingAt;
	}

	/** Milliseconds until the process ends; `Infinity` unless it shuts down. */
	get leftMs(): number {
		return this.#endsAt - this.#clock.now();
	}

	/** Whether a request about a job is answered before the process ends. */
	get mayServeJobRequest(): boolean {
		return !this.isClosing || this.leftMs >= jobRequestMs;
	}

	/**
	Begins the shutdown.

	@param requestedAt - When it was requested, in milliseconds on the monotonic clock.
	@param durationMs - Time from the request until the process ends.
	*/
	begin(requestedAt: number, durationMs: number): void {
		this.#closingAt = requestedAt + balancerRemovalMs;
		this.#endsAt = requestedAt + durationMs;
	}

	/** Whether a run may begin: it must not be cut off, unless that costs its call time only and is unlikely. */
	mayBegin({callArrivedAt, callEndsAt, isRecoverable, usualMs = 0}: PlannedRun): boolean {
		if (!this.isClosing || callEndsAt <= this.#endsAt) {
			return true;
		}

		return isRecoverable && callArrivedAt < this.#closingAt && usualMs < this.leftMs;
	}
}
