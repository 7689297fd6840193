/**
Finds out whether a job that the object API does not have may exist all the same, on the disks of keepers, so that it is reported as unknown only where nobody can hold it.

Keepers are asked, whatever this process has seen of the object API: a job is held where a single write took long, too, and a process that has just started has seen nothing. A keeper that does not answer may hold the job. It counts as lost with its disk after {@link lostAfterMs}, if no more keepers than may be lost at once are silent.
*/
import type {Clock} from '../../common/services.js';
import type {RpcClient} from '../../io/rpc-client.js';
import type {BatchJobId} from '../types.js';
import {findHeldJobMethod, type FindHeldJobAnswer} from './held-job.js';

/** Dependencies of the search. */
export type HeldJobSearchParts = {
	readonly rpc: Pick<RpcClient, 'call'>;
	/** The addresses at which keepers take calls, as `ip:port`; `undefined` until they have been read. */
	readonly keeperAddresses: () => readonly string[] | undefined;
	/** The number of disks that may be lost at once. */
	readonly toleratedLosses: number;
	readonly clock: Pick<Clock, 'now'>;
};

/** The timeout of a keeper's answer, which it gives from memory, in milliseconds. */
const answerTimeoutMs = 400;

/** A keeper that has been silent for this long, in milliseconds, counts as lost: a VM that restarts is back sooner. */
export const lostAfterMs = 30_000;

type Silence = {
	/** When it was first asked in vain, in milliseconds on the monotonic clock. */
	readonly since: number;
	/** When it was last asked. */
	readonly lastAskedAt: number;
};

/** See the module's head. */
export class HeldJobSearch {
	readonly #parts: HeldJobSearchParts;
	readonly #silences = new Map<string, Silence>();

	constructor(parts: HeldJobSearchParts) {
		this.#parts = parts;
	}

	/** Whether a keeper may hold the job, or have stored it since the object API was asked. */
	async mayBeHeld(job: BatchJobId): Promise<boolean> {
		const addresses = this.#parts.keeperAddresses();
		if (!addresses) {
			return true;
		}

		const answers = await Promise.all(addresses.map(async address => this.#ask(address, job)));
		if (answers.some(answer => answer?.isKnown)) {
			return true;
		}

		const silent = addresses.filter((_, i) => answers[i] === undefined);
		return silent.length > this.#parts.toleratedLosses || silent.some(address => !this.#isLost(address));
	}

	/** @returns `undefined` if the keeper does not answer. */
	async #ask(address: string, job: BatchJobId): Promise<FindHeldJobAnswer | undefined> {
		const answered = await this.#parts.rpc.call<FindHeldJobAnswer>({address, timeoutMs: answerTimeoutMs}, findHeldJobMethod, {job});
		const answer = answered.toMaybe().extract();
		if (answer) {
			this.#silences.delete(address);
		} else {
			this.#noteSilence(address);
		}

		return answer;
	}

	/** A silence that nobody has looked at for long may have been interrupted. */
	#noteSilence(address: string) {
		const now = this.#parts.clock.now();
		const before = this.#silences.get(address);
		const isContinued = before !== undefined && now - before.lastAskedAt < lostAfterMs;
		this.#silences.set(address, {since: isContinued ? before.since : now, lastAskedAt: now});
	}

	#isLost(address: string): boolean {
		return this.#parts.clock.now() - (this.#silences.get(address)?.since ?? Infinity) >= lostAfterMs;
	}
}
