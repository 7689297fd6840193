/**
Which processes run which accepted batch jobs, as the log lines tell it.
*/

/** A job that was accepted and is not over. */
type OpenJob = {
	itemsLeft: number;
	readonly runners: Set<string>;
};

/** See the module's head. */
export class JobRunners {
	readonly #open = new Map<string, OpenJob>();
	/** A caller may send a job again after it is over. */
	readonly #over = new Set<string>();

	/** Jobs that no process runs. */
	get withoutRunner(): number {
		return [...this.#open.values()].filter(({runners}) => runners.size === 0).length;
	}

	/** A job was accepted, or accepted again where its caller had sent it again. */
	noteAccepted(job: string, items: number): void {
		if (!this.#open.has(job) && !this.#over.has(job)) {
			this.#open.set(job, {itemsLeft: items, runners: new Set()});
		}
	}

	/** A process has taken a job or given it away. */
	noteClaim(job: string, node: string, isClaimed: boolean): void {
		const runners = this.#open.get(job)?.runners;
		if (isClaimed) {
			runners?.add(node);
		} else {
			runners?.delete(node);
		}
	}

	/** Results of a job were listed; with the last of them it is over. */
	noteResults(job: string, results: number): void {
		const open = this.#open.get(job);
		if (open) {
			open.itemsLeft -= results;
		}

		if (open && open.itemsLeft <= 0) {
			this.noteOver(job);
		}
	}

	/** A job is over. */
	noteOver(job: string): void {
		this.#open.delete(job);
		this.#over.add(job);
	}

	/** A process has started: it runs none of the jobs that it ran before. */
	noteStart(node: string): void {
		this.#open.forEach(({runners}) => {
			runners.delete(node);
		});
	}
}
