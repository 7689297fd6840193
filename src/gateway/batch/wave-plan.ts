/**
The decisions about batch items around a foreseen wave of online calls: whether an item begins or waits until the wave is over, and how many slots of a replica are kept free for the wave's first calls. Pure; called in each review of waiting items. Without a forecast an item begins and no slot is kept.

The pattern: square waves of calls under which items have a due time. A run that is cut costs the replica a second reading of its prompt, and in a wave's first tenth of a second all runs are cut at once while calls wait for their slots.
*/
import type {Replica} from '../replica.js';
import type {ReplicaRecord} from '../types.js';

/** What is foreseen of the online calls of one service. Times in milliseconds from now. */
export type WaveForecast = {
	/** See `DemandPattern`. */
	readonly sureness: number;
	/** Until the next wave begins. */
	readonly msToRise: number;
	/** Until the current wave ends, or the next one if none is on. */
	readonly msToFall: number;
	readonly isHigh: boolean;
	/** Since the current wave began; `undefined` if none is on. */
	readonly msSinceRise: number | undefined;
	/** Lengths of the calm between waves and of a wave. */
	readonly calmMs: number;
	readonly waveMs: number;
	/** Slots of all replicas of the service. */
	readonly slots: number;
	/** How many of them calls occupy in the calm and in the wave. */
	readonly calmSlots: number;
	readonly waveSlots: number;
	/** Age of the newest count that it is based on. */
	readonly ageMs: number;
};

/** The use of a service's slots. */
export type Occupancy = {
	/** Items in flight, of all processes. */
	readonly items: number;
	/** Items that wait, at all processes. */
	readonly waiting: number;
};

/** An item that could begin now. */
export type Candidate = {
	/** Milliseconds that it still has to run. */
	readonly runMs: number;
	/** Milliseconds until it is due. */
	readonly dueInMs: number;
};

/** Reserve of an item that waits to its due time, as a share of the time that it is expected to take: no wave and no run is exactly as long as the ones before. */
const dueMargin = 0.25;

/** Items wait only if what waits and runs needs at most this share of the slots that the calm leaves: the first calls after a wave still hold some. */
const roomyShare = 0.85;

/** Time before a wave in which slots become free one after the other, in milliseconds: the wave is foreseen to within two periods. */
const freeingMs = 300;

/** Time after the expected beginning of a wave for which slots are kept free, in milliseconds: calls fill slots for about as long as one of them takes. */
const fillingMs = 800;

/** The share of the slots by which a wave's demand rises that is kept free ahead of the calls: those that come while a cut takes effect. */
const aheadShare = 0.15;

/** How often an item is cut that has to run for `runMs` and begins `untilCutMs` before a wave. */
const cutsOf = (runMs: number, untilCutMs: number, calmMs: number): number => Math.max(0, Math.ceil((runMs - untilCutMs) / Math.max(1, calmMs)));

/** Whether an item that begins after the wave is still on time. */
const isOnTimeLater = ({runMs, dueInMs}: Candidate, {msToFall, calmMs, waveMs}: WaveForecast): boolean => {
	const interruptedMs = cutsOf(runMs, calmMs, calmMs) * waveMs;
	return msToFall + ((runMs + interruptedMs) * (1 + dueMargin)) <= dueInMs;
};

/**
Whether an item is to wait until the wave is over.

It waits only if it would be cut more often if it began now, if it is on time all the same, if no slot stays free for it through the wave, and if all that waits then finds a slot: with more work than slots, a slot that stays empty makes an item late.
*/
export const shouldWait = (item: Candidate, forecast: WaveForecast | undefined, {items, waiting}: Occupancy): boolean => {
	if (!forecast) {
		return false;
	}

	const {
		isHigh, msToRise, calmMs, slots, waveSlots, calmSlots,
	} = forecast;
	const isKeptThroughWave = items < slots - waveSlots;
	const isCutMoreOften = cutsOf(item.runMs, isHigh ? 0 : msToRise, calmMs) > cutsOf(item.runMs, calmMs, calmMs);
	return !isKeptThroughWave && isCutMoreOften && waiting + items <= roomyShare * (slots - calmSlots) && isOnTimeLater(item, forecast);
};

const waveShare = ({isHigh, msToRise, msSinceRise = Infinity}: WaveForecast): number => {
	if (isHigh) {
		return msSinceRise < fillingMs ? 1 : 0;
	}

	return Math.max(0, 1 - (msToRise / freeingMs));
};

/** The number of slots of a replica that items leave for the first calls of a wave: it grows shortly before the wave, and ends when calls have filled their slots. */
export const slotsAhead = ({allOnline, record}: Pick<Replica, 'allOnline'> & {readonly record: Pick<ReplicaRecord, 'slots'>}, forecast: WaveForecast | undefined): number => {
	if (!forecast || forecast.slots === 0) {
		return 0;
	}

	const {slots, waveSlots, calmSlots} = forecast;
	const part = record.slots / slots;
	const missing = Math.max(0, Math.min(record.slots, Math.round(waveSlots * part)) - allOnline);
	const ahead = Math.ceil(Math.max(0, waveSlots - calmSlots) * part * aheadShare);
	return Math.min(missing, Math.round(ahead * waveShare(forecast)));
};
