/**
Removes the claims of idempotency keys when their retention is over. A claim's name tells nothing of its age, and reading all values would be dear; but the object API's version grows with every change, so a note kept beside the claims, of which version was current at which time, gives the age of every claim from a list of names.

One entry does it at a time, the first in rank among the live ones. Two that take turns for a moment do no harm: each removal is conditional.
*/
import type {Revision} from '../common/ids.js';
import {rankMembers} from '../common/rendezvous.js';
import type {
	Clock, Disposable, EventLog, ObjectApi,
} from '../common/services.js';
import type {StoredObject} from '../common/types.js';
import {entryEvents} from './log-events.js';

/** What the sweeper is made of. */
export type SweeperParts = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly log: EventLog;
	/** This entry's VM. */
	readonly vm: string;
	/** The live entries' VMs. */
	readonly entries: () => readonly string[];
	/** Milliseconds that a claim is kept after its last change. */
	readonly retainMs: number;
};

/** Which version was current when. */
type Mark = {readonly wall: number; readonly version: Revision};
type Note = {readonly marks: readonly Mark[]};

/** Sorts before every claim's name, which is in hex. */
const noteName = '!sweep';
const tickMs = 60_000;
const markEveryMs = 3_600_000;
/** Names listed, and claims removed, in one tick at most; what is left waits for the next. */
const pageSize = 500;
const maxRemovals = 300;

/** Sweeps until disposed. */
export class ClaimSweeper implements Disposable {
	readonly #parts: SweeperParts;
	#after = noteName;
	#disposed = false;

	constructor(parts: SweeperParts) {
		this.#parts = parts;
	}

	/** Sweeps once a minute for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		while (!this.#disposed) {
			await this.#parts.clock.sleep(tickMs);
			await this.sweep();
		}
	}

	/** Sweeps one page, if it is this entry's turn: two calls, and one for each claim removed. */
	async sweep(): Promise<void> {
		const {api, vm, entries} = this.#parts;
		if (this.#disposed || rankMembers('claim-sweep', entries()).at(0) !== vm) {
			return;
		}

		const note = await api.get<Note>('Claim', noteName);
		const page = await api.list('Claim', {after: this.#after, limit: pageSize, values: false});
		// Without its note the age of no claim is known; an outage leaves the sweep for later.
		if (page.isLeft() || (note.isLeft() && note.extract().kind !== 'notFound')) {
			return;
		}

		const {items, version, more} = page.unsafeCoerce();
		const stored = note.isRight() ? note.extract() : undefined;
		const expired = items.filter(item => item.version <= this.#expiredVersion(stored)).slice(0, maxRemovals);
		await this.#remove(expired);
		this.#after = more ? items.at(-1)!.name : noteName;
		await this.#mark(stored, version);
	}

	dispose(): void {
		this.#disposed = true;
	}

	#expiredVersion(note: StoredObject<Note> | undefined): number {
		const {clock, retainMs} = this.#parts;
		return note?.value.marks.findLast(mark => mark.wall <= clock.wall() - retainMs)?.version ?? 0;
	}

	async #remove(expired: readonly StoredObject[]) {
		const {api, log} = this.#parts;
		for (const {name, version} of expired) {
			await api.remove('Claim', name, version);
		}

		if (expired.length > 0) {
			log.emit(entryEvents.claimsRemoved, {count: expired.length});
		}
	}

	async #mark(note: StoredObject<Note> | undefined, version: Revision) {
		const {api, clock, retainMs} = this.#parts;
		const now = clock.wall();
		const marks = note?.value.marks ?? [];
		if (now - (marks.at(-1)?.wall ?? Number.NEGATIVE_INFINITY) < markEveryMs) {
			return;
		}

		// The newest mark beyond the retention is the one in use; older ones are not needed.
		const firstNeeded = Math.max(0, marks.findLastIndex(mark => mark.wall <= now - retainMs));
		const value: Note = {marks: [...marks.slice(firstNeeded), {wall: now, version}]};
		await (note ? api.update('Claim', noteName, value, note.version) : api.create('Claim', noteName, value));
	}
}
