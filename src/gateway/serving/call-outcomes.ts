/**
Counts how callers' requests ended, for reports on the service of this process.
*/

/** The end of a call that a replica has answered. */
export const answered = 'answered';

/** The end of a call that arrived before this process knew a configuration. */
export const noConfiguration = 'no configuration';

/** Further reasons are counted together; texts of the operating system are among them. */
const maxReasons = 24;
const otherReasons = 'other';

/** See the module's head. */
export class CallOutcomes {
	#counts = new Map<string, number>();
	#hasServed = false;

	/** Whether any call was answered since the start. */
	get hasServed(): boolean {
		return this.#hasServed;
	}

	/** @param reason - {@link answered}, or why the call was not. */
	note(reason: string): void {
		this.#hasServed ||= reason === answered;
		const key = this.#counts.has(reason) || this.#counts.size < maxReasons ? reason : otherReasons;
		this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
	}

	/** @returns The counts by reason since the last call of this method. */
	take(): ReadonlyMap<string, number> {
		const counts = this.#counts;
		this.#counts = new Map();
		return counts;
	}
}
