/**
The world of every scenario: a registry of the resources it opened, so that servers, timers and processes are released even when a step fails.
*/
import {World} from '@cucumber/cucumber';

/** Releases a resource; may be asynchronous. */
export type Release = () => void | Promise<void>;

/** One per scenario. Steps keep their state in a subclass or in a `WeakMap` keyed by the world. */
export class TestWorld extends World {
	readonly #releases: Release[] = [];

	/**
	Registers an owner of resources for release at the end of the scenario.

	@param owner - Anything with `dispose()`, or a function that releases.
	@returns The same value.
	*/
	register<T extends {dispose(): void | Promise<void>} | Release>(owner: T): T {
		this.#releases.push(typeof owner === 'function' ? owner : async () => owner.dispose());
		return owner;
	}

	/** Releases everything, the last registered first. A failure does not prevent the other releases. */
	async release(): Promise<void> {
		const errors: unknown[] = [];
		for (const release of this.#releases.splice(0).toReversed()) {
			try {
				await release();
			} catch (err) {
				errors.push(err);
			}
		}

		if (errors.length > 0) {
			throw new AggregateError(errors, 'Resources of a scenario could not be released');
		}
	}
}
