/**
Lets one batch item of this agent run without other batch items beside it. When an engine crashes, every item in it is under suspicion; running the suspects one at a time finds the one that causes it, and the others come to no harm.
*/

/** Counts shared runs and lets an exclusive one in when they have ended. */
export class SoloGate {
	readonly #soloQueue: Array<() => void> = [];
	readonly #sharedQueue: Array<() => void> = [];
	#shared = 0;
	#solo = false;

	/** Waits until no exclusive run is going on or waiting. */
	async enterShared(): Promise<void> {
		if (this.#solo || this.#soloQueue.length > 0) {
			await new Promise<void>(resolve => {
				this.#sharedQueue.push(resolve);
			});
			return;
		}

		this.#shared += 1;
	}

	leaveShared(): void {
		this.#shared -= 1;
		this.#admit();
	}

	/** Waits until nothing else runs. */
	async enterSolo(): Promise<void> {
		if (!this.#solo && this.#shared === 0) {
			this.#solo = true;
			return;
		}

		await new Promise<void>(resolve => {
			this.#soloQueue.push(resolve);
		});
	}

	leaveSolo(): void {
		this.#solo = false;
		this.#admit();
	}

	#admit() {
		if (this.#solo || this.#shared > 0) {
			return;
		}

		const solo = this.#soloQueue.shift();
		if (solo) {
			this.#solo = true;
			solo();
			return;
		}

		this.#shared += this.#sharedQueue.length;
		this.#sharedQueue.splice(0).forEach(resolve => {
			resolve();
		});
	}
}
