/**
Remembers whether the object API answers, so that new work is refused at once in an outage: without it each caller would wait for a call to time out, and each would add a call that hangs.
*/
import type {ApiError} from '../common/types.js';
import type {Clock} from '../common/services.js';

const failuresBeforeShut = 2;
// After this long one caller goes through and finds out.
const shutMs = 1000;
const failureKinds: ReadonlySet<ApiError['kind']> = new Set<ApiError['kind']>(['unavailable', 'unknown']);

/** Shut for a second at a time while calls fail. */
export class ApiGate {
	readonly #clock: Clock;
	#failures = 0;
	#shutUntil = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** True when new work is to be refused. A caller that finds it open while calls fail shuts it for the others. */
	get isShut(): boolean {
		if (this.#failures < failuresBeforeShut) {
			return false;
		}

		if (this.#clock.now() < this.#shutUntil) {
			return true;
		}

		this.#shutUntil = this.#clock.now() + shutMs;
		return false;
	}

	/** Takes note of how a call ended; undefined when it succeeded. */
	note(err: ApiError | undefined): void {
		const hasFailed = err !== undefined && failureKinds.has(err.kind);
		this.#failures = hasFailed ? this.#failures + 1 : 0;
		this.#shutUntil = hasFailed ? this.#clock.now() + shutMs : Number.NEGATIVE_INFINITY;
	}
}
