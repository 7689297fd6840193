/**
The admission of one call, from its request to the call's end. While it is awaited, the call has been offered to no replica.
*/
import type {AdmissionControl, AdmissionOutcome} from '../admission/admission-control.js';
import type {Disposable} from '../../common/services.js';
import type {ArrivedCall} from './arrived-call.js';
import type {ReplicaOffers} from './replica-offers.js';

/** See the module's head. */
export class CallAdmission implements Disposable {
	readonly #control: AdmissionControl;
	#isAwaited = false;
	#isDisposed = false;
	#request: Disposable | undefined;

	constructor(control: AdmissionControl) {
		this.#control = control;
	}

	/** Whether the call waits for its admission. */
	get isAwaited(): boolean {
		return this.#isAwaited;
	}

	/**
	Asks for the admission of the call.

	@param timeLimitMs - Milliseconds after its arrival until which its caller waits.
	@param onDecided - May be called before this returns, and may dispose of this.
	*/
	request({route, caller, fields, message, arrivedAt}: ArrivedCall, offers: ReplicaOffers, timeLimitMs: number, onDecided: (outcome: AdmissionOutcome) => void): void {
		this.#isAwaited = true;
		this.#request = this.#control.request({
			id: fields.requestId, route, service: offers.service, account: caller.account, size: fields.size, isResumed: fields.isResumed, bodyBytes: message.body?.length, arrivedAt, timeLimitMs, candidates: () => offers.candidates,
		}, outcome => {
			this.#isAwaited = false;
			onDecided(outcome);
		});
		if (this.#isDisposed) {
			this.#request.dispose();
		}
	}

	/** The call has ended: it leaves the waiting line, or its share is released. */
	dispose(): void {
		this.#isDisposed = true;
		this.#request?.dispose();
	}
}
