/**
A pause of this process, as a busy machine brings about.
*/

/** Runs nothing else of this process for the given milliseconds. */
export const pauseProcess = (ms: number): void => {
	const endsAt = performance.now() + ms;
	while (performance.now() < endsAt) {
		// Stands still.
	}
};
