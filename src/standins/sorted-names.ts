/**
Keeps the names of one kind of object in order, so that a list can start anywhere without sorting.
*/

/** A sorted set of names, ordered by UTF-16 code units. */
export class SortedNames {
	readonly #names: string[] = [];

	/** Adds a name; does nothing when it is there. */
	add(name: string): void {
		const i = this.#firstFrom(name);
		if (this.#names[i] !== name) {
			this.#names.splice(i, 0, name);
		}
	}

	/** Removes a name; does nothing when it is not there. */
	remove(name: string): void {
		const i = this.#firstFrom(name);
		if (this.#names[i] === name) {
			this.#names.splice(i, 1);
		}
	}

	/**
	A page of the names that start with `prefix` and sort after `after`.

	@param limit - The most names to return.
	@returns The names, and whether more follow.
	*/
	page(prefix: string, after: string, limit: number): {names: string[]; more: boolean} {
		const start = after >= prefix ? this.#firstFrom(`${after}\0`) : this.#firstFrom(prefix);
		const names = this.#names.slice(start, start + limit + 1);
		const end = names.findIndex(name => !name.startsWith(prefix));
		const fitting = end === -1 ? names : names.slice(0, end);
		return {names: fitting.slice(0, limit), more: fitting.length > limit};
	}

	#firstFrom(name: string): number {
		let low = 0;
		let high = this.#names.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((this.#names[middle] ?? '') < name) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
