/**
Asks keepers to hold a job while the object API does not take it. A job is held once enough disks have it that it outlives the loss of as many as may be lost at once.
*/
import type {RpcClient} from '../../io/rpc-client.js';
import {holdJobMethod, type HeldJob, type HoldAnswer} from './held-job.js';

/** `none`: no keeper has it. `partly`: some may, so it may come to stand in the object API. */
export type HoldOutcome = 'held' | 'partly' | 'none';

/** What asking needs. */
export type KeeperPoolParts = {
	readonly rpc: RpcClient;
	/** Where keepers take calls, as `ip:port`. */
	readonly keeperAddresses: () => readonly string[];
	/** Disks that may be lost at once. */
	readonly toleratedLosses: number;
};

/** A keeper syncs a file and a folder, some ten milliseconds each; in milliseconds. */
const answerMs = 400;

/** Keepers that are asked beyond those that are needed: entries of some may be out of date. */
const spareKeepers = 3;

/** See the module's head. */
export class KeeperPool {
	readonly #parts: KeeperPoolParts;

	constructor(parts: KeeperPoolParts) {
		this.#parts = parts;
	}

	/** Whether there are enough keepers to ask. */
	get isSufficient(): boolean {
		return this.#parts.keeperAddresses().length >= this.#copies;
	}

	get #copies(): number {
		return this.#parts.toleratedLosses + 1;
	}

	/** Resolves as soon as enough keepers have the job. */
	async hold(job: HeldJob): Promise<HoldOutcome> {
		const {keeperAddresses: keepers, rpc} = this.#parts;
		const asked = keepers().slice(0, this.#copies + spareKeepers);
		let held = 0;
		let doubtful = 0;
		return new Promise(resolve => {
			const calls = asked.map(async address => {
				const answered = await rpc.call<HoldAnswer>({address, timeoutMs: answerMs}, holdJobMethod, job);
				answered
					.ifRight(answer => {
						held += answer === 'held' ? 1 : 0;
						doubtful += answer === 'uncertain' ? 1 : 0;
					})
					.ifLeft(({kind}) => {
						doubtful += kind === 'notSent' ? 0 : 1;
					});
				if (held >= this.#copies) {
					resolve('held');
				}
			});
			void Promise.all(calls).then(() => {
				resolve(held + doubtful > 0 ? 'partly' : 'none');
			});
		});
	}
}
