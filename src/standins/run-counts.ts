/**
Counts how often each request ran, to prove that a non-idempotent one ran at most once.
*/

const maxIds = 200_000;

/** Runs by request id; of the latest 200000 ids. */
export class RunCounts {
	readonly #runs = new Map<string, number>();
	#total = 0;

	get total(): number {
		return this.#total;
	}

	add(id: string): void {
		this.#total++;
		this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
		const oldest = this.#runs.keys().next();
		if (this.#runs.size > maxIds && !oldest.done) {
			this.#runs.delete(oldest.value);
		}
	}

	report(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#runs);
	}
}
