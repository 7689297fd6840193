/**
Simulates a pause of this process, as it occurs on a busy machine.
*/

/** Blocks the event loop for the given number of milliseconds. */
export const pauseProcess = (ms: number): void => {
	const endsAt = performance.now() + ms;
	while (performance.now() < endsAt) {
		// Busy wait.
	}
};
