/**
Counts the calls that the object API stand-in receives, since the real one is paid and limited by the call. Every call counts, also one that is refused or conflicts; a waiting watch is one.
*/

/** The methods that are told apart. A conditional `PUT` with `If-None-Match` is a create, any other an update. */
export const callMethods = ['get', 'create', 'update', 'delete', 'list', 'watch'] as const;

/** One of {@link callMethods}. */
export type CallMethod = (typeof callMethods)[number];

/** Calls by method. */
export type MethodCounts = Record<CallMethod, number>;

/** Calls by method, and the same for each kind of object. A watch of several kinds counts once in all and once for each kind. */
export type CallReport = MethodCounts & {readonly byKind: Readonly<Record<string, MethodCounts>>};

const zero = (): MethodCounts => ({
	get: 0, create: 0, update: 0, delete: 0, list: 0, watch: 0,
});

/** Counters of calls. */
export class CallCounts {
	#total = zero();
	#byKind = new Map<string, MethodCounts>();

	/** Counts one call that concerns `kinds`. */
	add(method: CallMethod, kinds: readonly string[]): void {
		this.#total[method]++;
		kinds.forEach(kind => {
			const counts = this.#byKind.get(kind) ?? zero();
			counts[method]++;
			this.#byKind.set(kind, counts);
		});
	}

	report(): CallReport {
		return {...this.#total, byKind: Object.fromEntries([...this.#byKind].map(([kind, counts]) => [kind, {...counts}]))};
	}

	reset(): void {
		this.#total = zero();
		this.#byKind = new Map();
	}
}
