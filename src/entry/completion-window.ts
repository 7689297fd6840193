/**
How long, and over how many lost runs, a request is still worth repeating after a backend server was lost with it.
*/

/** How long a replica is looked for that completes an answer which has begun: a backend server restarts in that time. */
const windowMs = 10_000;
/**
A request whose content takes the engine down would otherwise do so at one replica after another, with everything that runs there. Lost with three engines, it is more likely the cause than the victim; two losses in a row still happen to others.
*/
const maxLostRuns = 3;

/** Counts the losses of one request. */
export class CompletionWindow {
	#until = Number.NEGATIVE_INFINITY;
	#lostRuns = 0;
	/** Attempts of which nobody can say yet whether their backend server was lost with them. */
	readonly #doubtful = new Set<number>();

	/** True once the request must not run again. */
	get isSpent(): boolean {
		return this.#lostRuns + this.#doubtful.size >= maxLostRuns;
	}

	/** Whether a replica that completes the answer is still looked for at the clock's `now`. */
	isOpen(now: number): boolean {
		return !this.isSpent && now < this.#until;
	}

	/** A backend server was lost while it ran the request. */
	ranAndLost(): void {
		this.#lostRuns += 1;
	}

	/** The connection of an attempt was lost, and its backend server may have been lost with it: its end is heard of later, or never. */
	mayBeLost(attempt: number): void {
		this.#doubtful.add(attempt);
	}

	/** No backend server was lost with an attempt in doubt. */
	notLost(attempt: number): void {
		this.#doubtful.delete(attempt);
	}

	/**
	The answer stopped at the clock's `now`.

	@param hasProgress - Whether chunks came since it stopped last. Without any the window stays where it is: failures alone must not keep it open.
	*/
	stopped(now: number, hasProgress: boolean): void {
		const isFirst = this.#until === Number.NEGATIVE_INFINITY;
		this.#until = isFirst || hasProgress ? now + windowMs : this.#until;
	}
}
