/**
Reports when the object API answers this process, on any of its calls. A single call is a poor indicator of when an outage ended: it may have been sent late, or may have failed for an unrelated reason.
*/

/** An answer of the object API. */
export type ObjectApiAnswer = {
	/** Milliseconds on the monotonic clock. */
	readonly at: number;
	/** Milliseconds since the previous answer; `Infinity` for the first one. */
	readonly silentMs: number;
	/** Start of the last call that the object API itself failed to answer since the previous answer; the object API may have been reachable from then on. Watches are excluded, because they start long before they fail. `undefined` if no call failed. */
	readonly failedCallAt: number | undefined;
};

/** A source of the object API's answers to this process. */
export type ObjectApiReachability = {
	/** While the object API does not answer: start of the last call to it that failed, in milliseconds on the monotonic clock. `undefined` while it answers. */
	readonly lastFailedCallAt: number | undefined;
	/** Calls the listener with each answer. */
	onAnswer(listener: (answer: ObjectApiAnswer) => void): void;
};
