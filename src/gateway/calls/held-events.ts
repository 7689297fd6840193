/**
Bytes of a stream's first events that are held back until peers have stored the stream's origin: if only this process knew the version of the caller's events, the stream could not be resumed after its failure.
*/
import type {Buffer} from 'node:buffer';
import type {Clock, Metrics} from '../../common/services.js';
import type {Announcement} from '../streams/origin-announcer.js';
import type {ReplicaRun} from './replica-run.js';

/** Dependencies. */
export type HeldEventsParts = {
	readonly clock: Pick<Clock, 'now'>;
	readonly metrics: Metrics;
	/** Whether the run is still the current one. */
	readonly isCurrent: (run: ReplicaRun) => boolean;
	readonly forward: (bytes: Buffer) => void;
};

/** See the module's head. */
export class HeldEvents {
	readonly #parts: HeldEventsParts;
	#held: Buffer[] = [];

	constructor(parts: HeldEventsParts) {
		this.#parts = parts;
	}

	/** Holds bytes back, and pauses their run until the announcement is settled. */
	hold(bytes: Buffer, run: ReplicaRun, {settled}: Announcement): void {
		this.#held.push(bytes);
		if (this.#held.length > 1) {
			return;
		}

		const {clock, metrics, isCurrent} = this.#parts;
		run.pause();
		const startedAt = clock.now();
		void settled.then(() => {
			metrics.timing('gateway.originWait', clock.now() - startedAt);
			if (isCurrent(run)) {
				// Resuming may deliver further bytes at once.
				this.forwardAll();
				run.resume();
			}
		});
	}

	/** Forwards what is held back. */
	forwardAll(): void {
		const held = this.#held;
		this.#held = [];
		held.forEach(bytes => {
			this.#parts.forward(bytes);
		});
	}

	/** Discards what is held back: its run has broken off. */
	discard(): void {
		this.#held = [];
	}
}
