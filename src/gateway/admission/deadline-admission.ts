/**
Admits every call that can get a slot before its caller's time is up, and refuses the others at once: a call that waits in vain delays those that could still be served.
*/
import type {Clock, Disposable} from '../../common/services.js';
import type {CallRanks} from '../accounts/call-ranks.js';
import type {ServiceTimes} from '../placement/service-times.js';
import {
	rankOf, type AdmissionControl, type AdmissionOutcome, type AdmissionRequest,
} from './admission-control.js';

/** Dependencies of the control. */
export type DeadlineAdmissionParts = {
	readonly serviceTimes: ServiceTimes;
	readonly ranks: CallRanks;
	readonly clock: Clock;
};

/** Shortest delay after which a refused caller is to retry, in milliseconds: by then, slots may have become free. */
const minRetryMs = 300;

const nothingHeld: Disposable = {dispose: () => undefined};

/** See the module's head. */
export class DeadlineAdmission implements AdmissionControl {
	readonly #parts: DeadlineAdmissionParts;

	constructor(parts: DeadlineAdmissionParts) {
		this.#parts = parts;
	}

	request(call: AdmissionRequest, onDecided: (outcome: AdmissionOutcome) => void): Disposable {
		onDecided(this.#decide(call));
		return nothingHeld;
	}

	#decide(call: AdmissionRequest): AdmissionOutcome {
		const {service, arrivedAt, timeLimitMs, candidates} = call;
		const {serviceTimes, ranks, clock} = this.#parts;
		const rank = rankOf(call);
		ranks.note(service, rank);
		const waitMs = serviceTimes.waitMs(service, candidates());
		const leftMs = (arrivedAt + timeLimitMs - clock.now()) * ranks.waitShareOf(service, rank);
		return waitMs > leftMs
			? {kind: 'refused', reason: 'hopeless', retryAfterMs: Math.max(minRetryMs, waitMs - leftMs)}
			: {kind: 'admitted'};
	}
}
