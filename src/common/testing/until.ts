/**
Waits for a condition, so that a step goes on as soon as it holds and never asserts on elapsed time.
*/
const pollMs = 5;
/** Below the longest time a step may take, so that the message says what was waited for. */
const giveUpMs = 15_000;

/** Resolves once the condition holds; rejects with the text when it does not for long. */
export const until = async (condition: () => boolean, text: string): Promise<void> => {
	const deadline = performance.now() + giveUpMs;
	while (!condition()) {
		if (performance.now() > deadline) {
			throw new Error(`waited in vain until ${text}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
	}
};
