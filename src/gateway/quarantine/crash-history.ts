/**
Which replicas have ended while a request was there, for each request, whatever its ids were. Pure: it reads no clock and sends nothing.
*/
import type {Branded} from '../../common/ids.js';
import type {ReplicaRecord} from '../types.js';
import type {ContentDigest} from './content-digest.js';

/** One start of a replica. It ends once. */
export type ReplicaStart = Branded<string, 'ReplicaStart'>;

/** A request was at a replica when it ended. */
export type Crash = {
	readonly content: ContentDigest;
	readonly start: ReplicaStart;
};

/** Requests that are remembered. A crash brings about ten, a restart of a whole service some hundred; those whose last crash is longest ago are forgotten first. */
const maxContents = 2000;

/** @returns The same at every process. */
export const startOf = ({id, startedAt}: Pick<ReplicaRecord, 'id' | 'startedAt'>): ReplicaStart => `${id}/${startedAt ?? ''}` as ReplicaStart;

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class CrashHistory {
	/** When each replica ended, by content; the content of the last crash comes last. */
	readonly #crashes = new Map<ContentDigest, Map<ReplicaStart, number>>();

	/** Requests that are remembered. */
	get size(): number {
		return this.#crashes.size;
	}

	/** @returns False where it was known: several processes may have had the same request there. */
	record({content, start}: Crash, at: number): boolean {
		const ended = this.#crashes.get(content) ?? new Map<ReplicaStart, number>();
		if (ended.has(start)) {
			return false;
		}

		ended.set(start, at);
		this.#crashes.delete(content);
		this.#crashes.set(content, ended);
		this.#forgetOldest();
		return true;
	}

	delete(content: ContentDigest): void {
		this.#crashes.delete(content);
	}

	/** Forgets requests whose last crash was before a moment. */
	deleteBefore(at: number): void {
		[...this.#crashes.keys()].filter(content => this.lastCrashAt(content) < at).forEach(content => {
			this.delete(content);
		});
	}

	/** Requests under which so many replicas have ended, those of the last crashes last. */
	withAtLeast(least: number): readonly ContentDigest[] {
		return [...this.#crashes].filter(([, ended]) => ended.size >= least).map(([content]) => content);
	}

	/** How many replicas have ended under the request. */
	countOf(content: ContentDigest): number {
		return this.#crashes.get(content)?.size ?? 0;
	}

	startsOf(content: ContentDigest): readonly ReplicaStart[] {
		return [...this.#crashes.get(content)?.keys() ?? []];
	}

	/** -Infinity where no replica has ended under the request. */
	lastCrashAt(content: ContentDigest): number {
		return Math.max(...this.#crashes.get(content)?.values() ?? [-Infinity]);
	}

	#forgetOldest() {
		const [oldest] = this.#crashes.keys();
		if (this.#crashes.size > maxContents && oldest !== undefined) {
			this.delete(oldest);
		}
	}
}
