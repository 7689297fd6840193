/**
Keeps orders of a former holder of the placement away from the engine. Not every engine checks fencing numbers, so the agent does: it knows the highest number and, after a restart and with each new assignment, learns anew who holds the placement before it obeys.
*/
import {
	placementEpochName, isCurrentAssignment, type Assignment, type PlacementEpoch,
} from '../common/placement.js';
import type {Revision} from '../common/ids.js';
import type {ObjectApi} from '../common/services.js';

/** What to do with an assignment. */
export type FenceVerdict = 'current' | 'stale' | 'unknown';

/** The fence of one engine. */
export class OrderFence {
	readonly #api: ObjectApi;
	readonly #checksFence: () => boolean;
	#epoch: PlacementEpoch | undefined;
	#learnedFor: Revision | undefined;

	/** @param checksFence - Whether the engine itself refuses old numbers. */
	constructor(api: ObjectApi, checksFence: () => boolean) {
		this.#api = api;
		this.#checksFence = checksFence;
	}

	/** Judges an assignment; `unknown` when that can not be said now. */
	async judge(assignment: Assignment, version: Revision): Promise<FenceVerdict> {
		const learned = this.#learnedFor === version || await this.#learn(version);
		if (this.#epoch && !isCurrentAssignment(assignment, version, this.#epoch)) {
			return 'stale';
		}

		// An engine that checks is its own fence; for any other, obeying before the number is known could undo what a newer holder ordered.
		return learned || this.#checksFence() ? 'current' : 'unknown';
	}

	async #learn(version: Revision): Promise<boolean> {
		const read = await this.#api.get<PlacementEpoch>('Assignment', placementEpochName);
		const isKnown = read.isRight() || read.extract().kind === 'notFound';
		read.ifRight(({value}) => {
			this.#epoch = this.#epoch && this.#epoch.fence > value.fence ? this.#epoch : value;
		});
		this.#learnedFor = isKnown ? version : this.#learnedFor;
		return isKnown;
	}
}
