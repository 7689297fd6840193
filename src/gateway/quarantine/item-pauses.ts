/**
Pauses between runs of batch items under which replicas have crashed. An item that was handed in for later is never the cause of a crash: replicas that end under it end for another reason, and it is still owed. So nothing here holds an item back for long, and nothing is told to peers or counted against calls. The pauses only keep items from being sent into the same outage several times a second: those with a common prompt part, under which replicas have crashed, are sent one at a time until one has been answered for a while.
*/
import type {Clock} from '../../common/services.js';
import type {ReplicaRecord} from '../types.js';
import {startOf, type ReplicaStart} from './crash-history.js';
import type {PartKey} from './prompt-part-keys.js';

/** The longest time between a crash and the next run, in milliseconds. An item is due within some tens of seconds, and an outage in which replicas end is over within a second or two. */
export const maxPauseMs = 1500;

/** Time between two items with a suspected part, in milliseconds: a replica that crashes under the first one does so within it. */
const spacingMs = 500;

/** Number of crashes after which a part is suspected. */
const minCrashes = 2;

/** Crashes are forgotten after this long, in milliseconds: they belong to an outage that is over. */
const retainCrashesMs = 30_000;

/** Maximum number of parts with crashes; those whose last crash is the oldest are removed first. */
const maxParts = 2000;

type CrashesOfPart = {
	readonly starts: Set<ReplicaStart>;
	lastCrashAt: number;
	/** When an item with the part was last sent. */
	sentAt: number;
};

/** See the module's head. */
export class ItemPauses {
	readonly #clock: Pick<Clock, 'now'>;
	/** The part of the last crash comes last. */
	readonly #byPart = new Map<PartKey, CrashesOfPart>();
	#version = 0;

	constructor(clock: Pick<Clock, 'now'>) {
		this.#clock = clock;
	}

	/** Changes whenever a crash is recorded. */
	get version(): number {
		return this.#version;
	}

	/** Whether crashes are recorded for any part. While there are none, no part of an item is needed. */
	get hasSuspects(): boolean {
		return this.#byPart.size > 0;
	}

	/** @returns For how many more milliseconds an item with these parts is not to be sent; 0 where it may be. */
	heldMs(parts: readonly PartKey[]): number {
		const now = this.#clock.now();
		return Math.max(0, ...this.#suspectsOf(parts).map(({lastCrashAt, sentAt}) => Math.max(lastCrashAt + maxPauseMs, sentAt + spacingMs) - now));
	}

	/** Records that an item with these parts is being sent. */
	noteSent(parts: readonly PartKey[]): void {
		const now = this.#clock.now();
		this.#suspectsOf(parts).forEach(suspect => {
			suspect.sentAt = now;
		});
	}

	/** Records that a replica has crashed at the beginning of its answer to an item with these parts. */
	noteCrash(parts: readonly PartKey[], replica: ReplicaRecord): void {
		const now = this.#clock.now();
		this.#version += 1;
		this.#deleteBefore(now - retainCrashesMs);
		parts.forEach(part => {
			const {starts, sentAt} = this.#byPart.get(part) ?? {starts: new Set<ReplicaStart>(), sentAt: -Infinity};
			starts.add(startOf(replica));
			this.#byPart.delete(part);
			this.#byPart.set(part, {starts, sentAt, lastCrashAt: now});
		});
		[...this.#byPart.keys()].slice(0, Math.max(0, this.#byPart.size - maxParts)).forEach(part => {
			this.#byPart.delete(part);
		});
	}

	/** Records that a replica has gone on with an item with these parts. */
	noteSound(parts: readonly PartKey[]): void {
		parts.forEach(part => {
			this.#byPart.delete(part);
		});
	}

	#suspectsOf(parts: readonly PartKey[]): CrashesOfPart[] {
		return parts.map(part => this.#byPart.get(part)).filter(crashes => crashes !== undefined && crashes.starts.size >= minCrashes) as CrashesOfPart[];
	}

	#deleteBefore(time: number) {
		this.#byPart.forEach(({lastCrashAt}, part) => {
			if (lastCrashAt < time) {
				this.#byPart.delete(part);
			}
		});
	}
}
