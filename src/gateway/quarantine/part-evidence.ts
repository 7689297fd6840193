/**
Finds the prompt parts that crash replicas, from the parts of the requests that were at the beginning of their answers when replicas crashed. Pure: it reads no clock and sends nothing.

Replicas that end beside others under which no part came twice are no evidence against a part: they end whatever they run.

The method is group testing: the part that explains the most crashes is a culprit, its crashes are taken from all other parts, and so on with what is left. A part that was in a sound run is cleared of all crashes so far.
*/
import type {MemberName} from '../types.js';
import type {ReplicaStart} from './crash-history.js';
import type {PartKey} from './prompt-part-keys.js';

/** A replica crashed at the beginning of the answers to requests with these parts. */
export type PartCrash = {
	readonly start: ReplicaStart;
	readonly parts: readonly PartKey[];
	/** The process that had sent these requests. */
	readonly seenBy: MemberName;
};

/** Parts that explain the same crashes: one of them is the cause. */
export type Culprit = {
	readonly parts: readonly PartKey[];
	/** Number of distinct moments at which replicas crashed. */
	readonly crashes: number;
	/** Whether enough crashes have no other explanation left. */
	readonly isCertain: boolean;
	/** Number of requests that were sent since to test the parts. */
	readonly trials: number;
	/** Time of the last crash or trial. */
	readonly lastAt: number;
};

/** One crash as recorded for a part. */
export type CrashEntry = {
	readonly at: number;
	readonly seenBy: MemberName;
};

type Entries = ReadonlyMap<ReplicaStart, CrashEntry>;

/** Crashes within this time of the first one, in milliseconds, count as one: replicas that end together have a common cause, which is no request. */
const simultaneousMs = 50;

/** Crashes this far apart at most, in milliseconds, belong to one burst. */
const burstWindowMs = 500;

/** Number, and share, of the replicas that end within a burst and had no part that came twice. */
const minUnattributed = 2;
const minUnattributedShare = 0.2;

/** Maximum number of ended replicas that are remembered; a burst has some dozen. */
const maxStarts = 500;

/** Number of crashes after which a part is a culprit. */
const minCrashes = 2;

/** Number of crashes without another explanation after which a culprit is certain. */
const minCertainCrashes = 3;

/** Maximum number of parts that are recorded; those whose last crash is the oldest are removed first. */
const maxParts = 2000;

/** Maximum number of crashes that are recorded for one part, and of those that it is cleared of. */
const maxCrashesOfPart = 200;

/** Marks the entry of a trial, which takes the place of a crash that may follow. */
const trialPrefix = 'trial/';

/** @returns The entry of a trial; `number` is unique at the process. */
export const trialStart = (process: MemberName, number: string): ReplicaStart => `${trialPrefix}${process}/${number}` as ReplicaStart;

const isTrial = (start: ReplicaStart): boolean => start.startsWith(trialPrefix);

/** Number of distinct moments among the times of crashes. */
const countMoments = (times: readonly number[]): number => {
	let windowStart = -Infinity;
	return times.toSorted((a, b) => a - b).filter(at => {
		const isNew = at - windowStart > simultaneousMs;
		windowStart = isNew ? at : windowStart;
		return isNew;
	}).length;
};

const countCrashes = (entries: Entries): number => entries.size < minCrashes ? entries.size : countMoments([...entries.values()].map(({at}) => at));

const withoutTrials = (entries: Entries): Entries => new Map([...entries].filter(([start]) => !isTrial(start)));

const without = (entries: Entries, starts: ReadonlySet<ReplicaStart>): Entries => new Map([...entries].filter(([start]) => !starts.has(start)));

const hasSameStarts = (a: Entries, b: Entries): boolean => a.size === b.size && [...a.keys()].every(start => b.has(start));

/** See the module's head. Times are milliseconds on the monotonic clock. */
export class PartEvidence {
	/** The part of the last crash comes last. */
	readonly #byPart = new Map<PartKey, Map<ReplicaStart, CrashEntry>>();
	/** Crashes that a part has been cleared of: their announcements may still arrive. */
	readonly #clearedOf = new Map<PartKey, ReadonlySet<ReplicaStart>>();
	/** When each replica ended, whatever it ran; the last one comes last. */
	readonly #endedAt = new Map<ReplicaStart, number>();
	/** Found when they are first needed after a change. */
	#culprits: readonly Culprit[] | undefined = [];
	#version = 0;

	/** Changes whenever a crash is recorded. */
	get version(): number {
		return this.#version;
	}

	/** Number of parts with crashes. */
	get size(): number {
		return this.#byPart.size;
	}

	/** Parts that explain the crashes, those of the most crashes first. */
	get culprits(): readonly Culprit[] {
		this.#culprits ??= this.#findCulprits();
		return this.#culprits;
	}

	has(part: PartKey): boolean {
		return this.#byPart.has(part);
	}

	/** The crashes and trials of a part. */
	entriesOf(part: PartKey): Entries {
		return this.#byPart.get(part) ?? new Map<ReplicaStart, CrashEntry>();
	}

	/** Whether the end of the replica is recorded, with or without parts. */
	hasEnd(start: ReplicaStart): boolean {
		return this.#endedAt.has(start);
	}

	/** @returns The parts for which the crash was not recorded yet. */
	record({start, parts, seenBy}: PartCrash, at: number): readonly PartKey[] {
		this.#recordEnd(start, at);
		const added = parts.filter(part => !this.entriesOf(part).has(start) && !this.#clearedOf.get(part)?.has(start));
		added.forEach(part => {
			this.#add(part, start, {at, seenBy});
		});
		return added;
	}

	/** Deletes the crashes of a part until the given time, which do not count again. */
	clear(part: PartKey, until: number): void {
		const entries = [...this.entriesOf(part)];
		const cleared = entries.filter(([, {at}]) => at <= until).map(([start]) => start);
		const later = entries.filter(([, {at}]) => at > until);
		const starts = [...this.#clearedOf.get(part) ?? [], ...cleared].slice(-maxCrashesOfPart);
		this.#clearedOf.delete(part);
		this.#clearedOf.set(part, new Set(starts));
		deleteOldest(this.#clearedOf, maxParts);
		this.#byPart.delete(part);
		if (later.length > 0) {
			this.#byPart.set(part, new Map(later));
		}

		this.#culprits = undefined;
	}

	/** Deletes a trial, which does not count again. */
	withdraw(trial: ReplicaStart): void {
		this.#byPart.forEach((entries, part) => {
			if (entries.delete(trial)) {
				this.#clearedOf.set(part, new Set([...this.#clearedOf.get(part) ?? [], trial]));
			}
		});
		this.#culprits = undefined;
	}

	/** Trials that a process has started. */
	trialsOf(process: MemberName): readonly ReplicaStart[] {
		return [...new Set([...this.#byPart.values()].flatMap(entries => [...entries].filter(([start, {seenBy}]) => isTrial(start) && seenBy === process).map(([start]) => start)))];
	}

	/** Parts whose last crash or trial was before the given time. */
	lastBefore(time: number): readonly PartKey[] {
		return [...this.#byPart].filter(([, entries]) => [...entries.values()].every(({at}) => at < time)).map(([part]) => part);
	}

	#add(part: PartKey, start: ReplicaStart, entry: CrashEntry) {
		const entries = this.#byPart.get(part) ?? new Map<ReplicaStart, CrashEntry>();
		entries.set(start, entry);
		deleteOldest(entries, maxCrashesOfPart);
		this.#byPart.delete(part);
		this.#byPart.set(part, entries);
		deleteOldest(this.#byPart, maxParts);
		this.#culprits = undefined;
		this.#version += 1;
	}

	#recordEnd(start: ReplicaStart, at: number) {
		if (!isTrial(start) && !this.#endedAt.has(start)) {
			this.#endedAt.set(start, at);
			deleteOldest(this.#endedAt, maxStarts);
			this.#culprits = undefined;
		}
	}

	/** Replicas that ended in a burst, whatever they ran. */
	#findBursts(): ReadonlySet<ReplicaStart> {
		const repeated = new Set([...this.#byPart.values()].filter(entries => countCrashes(withoutTrials(entries)) >= minCrashes).flatMap(entries => [...entries.keys()]));
		const ends = [...this.#endedAt].toSorted(([, a], [, b]) => a - b);
		return new Set(ends.filter(([, at]) => {
			const near = ends.filter(([, other]) => Math.abs(other - at) <= burstWindowMs);
			const unattributed = near.filter(([start]) => !repeated.has(start)).length;
			return unattributed >= minUnattributed && unattributed >= minUnattributedShare * near.length;
		}).map(([start]) => start));
	}

	#findCulprits(): readonly Culprit[] {
		const bursts = this.#findBursts();
		const unexplained = new Map([...this.#byPart].filter(([, entries]) => entries.size >= minCrashes).map(([part, entries]) => [part, without(withoutTrials(entries), bursts)]));
		const suspects = this.#countSuspects();
		const culprits: Culprit[] = [];
		let next = likeliest(unexplained);
		while (next) {
			const {starts} = next;
			culprits.push(this.#culpritOf(next, suspects));
			unexplained.forEach((entries, part) => {
				unexplained.set(part, new Map([...entries].filter(([start]) => !starts.has(start))));
			});
			next = likeliest(unexplained);
		}

		return culprits;
	}

	#culpritOf({parts, starts, crashes}: Explanation, suspects: ReadonlyMap<ReplicaStart, number>): Culprit {
		const unshared = [...starts].filter(([start]) => suspects.get(start) === parts.length);
		const all = parts.flatMap(part => [...this.entriesOf(part)]);
		const trials = parts.map(part => [...this.entriesOf(part).keys()].filter(start => isTrial(start)).length);
		return {
			parts,
			crashes,
			isCertain: countMoments(unshared.map(([, {at}]) => at)) >= minCertainCrashes,
			trials: Math.max(...trials),
			lastAt: Math.max(...all.map(([, {at}]) => at)),
		};
	}

	/** Number of parts with each crash. */
	#countSuspects(): ReadonlyMap<ReplicaStart, number> {
		const counts = new Map<ReplicaStart, number>();
		this.#byPart.forEach(entries => {
			entries.forEach((_, start) => {
				counts.set(start, (counts.get(start) ?? 0) + 1);
			});
		});
		return counts;
	}
}

type Explanation = {
	readonly parts: readonly PartKey[];
	readonly starts: Entries;
	readonly crashes: number;
};

/** The parts that explain the most crashes, if these are enough. */
const likeliest = (unexplained: ReadonlyMap<PartKey, Entries>): Explanation | undefined => {
	const candidates = [...unexplained]
		.filter(([, starts]) => starts.size >= minCrashes)
		.map(([part, starts]) => ({part, starts, crashes: countCrashes(starts)}))
		.toSorted((a, b) => b.crashes - a.crashes || b.starts.size - a.starts.size);
	const [first] = candidates;
	if (!first || first.crashes < minCrashes) {
		return undefined;
	}

	const parts = candidates.filter(({starts}) => hasSameStarts(starts, first.starts)).map(({part}) => part);
	return {parts, starts: first.starts, crashes: first.crashes};
};

/** Keeps a table within its bound; its entries are in the order of their last change. */
const deleteOldest = <K>(table: Map<K, unknown>, most: number) => {
	const [oldest] = table.keys();
	if (table.size > most && oldest !== undefined) {
		table.delete(oldest);
	}
};
