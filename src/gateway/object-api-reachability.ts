/**
Tells when the object API answers this process, whichever of its calls it is. One call says little of when an outage ended: it may have been asked late, or have been lost for a reason of its own.
*/

/** An answer of the object API. */
export type ObjectApiAnswer = {
	/** In milliseconds on the monotonic clock. */
	readonly at: number;
	/** Milliseconds since the answer before it; `Infinity` for the first one. */
	readonly silentMs: number;
	/** When the last call began that the object API itself failed to answer since the answer before; it may have been back from then on. Watches do not count, as they begin long before they fail. `undefined`: none failed. */
	readonly failedCallAt: number | undefined;
};

/** See the module's head. */
export type ObjectApiReachability = {
	/** While the object API does not answer: when the last call to it began that has failed, in milliseconds on the monotonic clock. `undefined` while it answers. */
	readonly lastFailedCallAt: number | undefined;
	/** Calls the listener with each answer. */
	onAnswer(listener: (answer: ObjectApiAnswer) => void): void;
};
