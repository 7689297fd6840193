/**
Waits for a condition, so that a step continues as soon as it holds and never asserts on elapsed time.
*/
const pollMs = 5;
/** Below the timeout of a step, so that the error names the condition that was waited for. */
const waitTimeoutMs = 15_000;

/** Resolves once the condition holds; rejects with an error that contains `text` when it does not hold within 15 s. */
export const until = async (condition: () => boolean, text: string): Promise<void> => {
	const deadline = performance.now() + waitTimeoutMs;
	while (!condition()) {
		if (performance.now() > deadline) {
			throw new Error(`timed out waiting until ${text}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
	}
};
