/**
Asks keepers to hold a job while the object API does not accept it. A job counts as held once it is on enough disks to survive the loss of as many as may be lost at once.
*/
import type {RpcClient} from '../../io/rpc-client.js';
import {holdJobMethod, type HeldJob, type HoldAnswer} from './held-job.js';

/** `none`: no keeper has the job. `partly`: some may have it, so its record may appear in the object API. */
export type HoldOutcome = 'held' | 'partly' | 'none';

/** Dependencies of the pool. */
export type KeeperPoolParts = {
	readonly rpc: RpcClient;
	/** The addresses at which keepers take calls, as `ip:port`. */
	readonly keeperAddresses: () => readonly string[];
	/** The number of disks that may be lost at once. */
	readonly toleratedLosses: number;
};

/** The timeout of a keeper's answer, in milliseconds: it syncs a file and a folder, some ten milliseconds each. */
const answerTimeoutMs = 400;

/** The number of keepers that are asked beyond those that are needed, since the registrations of some may be out of date. */
const spareKeepers = 3;

/** See the module's head. */
export class KeeperPool {
	readonly #parts: KeeperPoolParts;

	constructor(parts: KeeperPoolParts) {
		this.#parts = parts;
	}

	/** Whether there are as many keepers as copies are needed. */
	get isSufficient(): boolean {
		return this.#parts.keeperAddresses().length >= this.#requiredCopies;
	}

	get #requiredCopies(): number {
		return this.#parts.toleratedLosses + 1;
	}

	/** Resolves as soon as enough keepers have the job. */
	async hold(job: HeldJob): Promise<HoldOutcome> {
		const {keeperAddresses, rpc} = this.#parts;
		const asked = keeperAddresses().slice(0, this.#requiredCopies + spareKeepers);
		let held = 0;
		let uncertain = 0;
		return new Promise(resolve => {
			const calls = asked.map(async address => {
				const answered = await rpc.call<HoldAnswer>({address, timeoutMs: answerTimeoutMs}, holdJobMethod, job);
				answered
					.ifRight(answer => {
						held += answer === 'held' ? 1 : 0;
						uncertain += answer === 'uncertain' ? 1 : 0;
					})
					.ifLeft(({kind}) => {
						uncertain += kind === 'notSent' ? 0 : 1;
					});
				if (held >= this.#requiredCopies) {
					resolve('held');
				}
			});
			void Promise.all(calls).then(() => {
				resolve(held + uncertain > 0 ? 'partly' : 'none');
			});
		});
	}
}
