/**
Records which replicas ended while they were running a request, for each request content and independently of request ids. Pure: it reads no clock and sends nothing.
*/
import type {Branded} from '../../common/ids.js';
import type {ReplicaRecord} from '../types.js';
import type {ContentDigest} from './content-digest.js';

/** Identifies one start of a replica, which ends once. */
export type ReplicaStart = Branded<string, 'ReplicaStart'>;

/** A replica ended while it was running a request. */
export type Crash = {
	readonly content: ContentDigest;
	readonly start: ReplicaStart;
};

/** Maximum number of requests that are recorded. A crash adds about ten, a restart of an entire service some hundred; those with the oldest last crash are removed first. */
const maxContents = 2000;

/** @returns The start's identifier, the same at every process. */
export const startOf = ({id, startedAt}: Pick<ReplicaRecord, 'id' | 'startedAt'>): ReplicaStart => `${id}/${startedAt ?? ''}` as ReplicaStart;

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class CrashHistory {
	/** When each replica ended, by content; the content of the last crash comes last. */
	readonly #crashes = new Map<ContentDigest, Map<ReplicaStart, number>>();

	/** Number of requests that are recorded. */
	get size(): number {
		return this.#crashes.size;
	}

	/** @returns False where the crash was recorded already: several processes may have sent the same request to that replica. */
	record({content, start}: Crash, at: number): boolean {
		const ended = this.#crashes.get(content) ?? new Map<ReplicaStart, number>();
		if (ended.has(start)) {
			return false;
		}

		ended.set(start, at);
		this.#crashes.delete(content);
		this.#crashes.set(content, ended);
		this.#deleteOldest();
		return true;
	}

	delete(content: ContentDigest): void {
		this.#crashes.delete(content);
	}

	/** Removes requests whose last crash was before the given time. */
	deleteBefore(at: number): void {
		[...this.#crashes.keys()].filter(content => this.lastCrashAt(content) < at).forEach(content => {
			this.delete(content);
		});
	}

	/** Requests with at least the given number of crashes, those of the most recent crashes last. */
	withAtLeast(least: number): readonly ContentDigest[] {
		return [...this.#crashes].filter(([, ended]) => ended.size >= least).map(([content]) => content);
	}

	/** Number of replicas that have ended while running the request. */
	countOf(content: ContentDigest): number {
		return this.#crashes.get(content)?.size ?? 0;
	}

	startsOf(content: ContentDigest): readonly ReplicaStart[] {
		return [...this.#crashes.get(content)?.keys() ?? []];
	}

	/** `-Infinity` where no replica has ended while running the request. */
	lastCrashAt(content: ContentDigest): number {
		return Math.max(...this.#crashes.get(content)?.values() ?? [-Infinity]);
	}

	#deleteOldest() {
		const [oldest] = this.#crashes.keys();
		if (this.#crashes.size > maxContents && oldest !== undefined) {
			this.delete(oldest);
		}
	}
}
