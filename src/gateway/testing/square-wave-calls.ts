/**
Online calls in square waves for the model of batch items: it sends calls to one replica that stands for a whole service, lets each occupy its slot for its time, and counts those that wait for a slot. Virtual time, no network.
*/
import type {RandomSource} from '../../common/services.js';
import type {LoadBoard} from '../load-board.js';
import type {Replica} from '../replica.js';

/** The calls of a load. Times in milliseconds. */
export type CallWave = {
	/** Mean number of calls a second. */
	readonly perSecond: number;
	readonly callMs: number;
	readonly calmMs: number;
	readonly waveMs: number;
	/** Rates in the calm and in the wave, as multiples of the mean. */
	readonly calmRate: number;
	readonly waveRate: number;
	/** Whether the lengths of calms and waves are drawn at random, with these as means. */
	readonly isIrregular?: boolean;
	/** From when on no wave comes any more. */
	readonly wavesEndAt?: number;
};

type Call = {
	readonly arrivedAt: number;
	startedAt: number | undefined;
	readonly release: () => void;
};

/** A call that waits longer for its slot is late: the target of its first event leaves no more. */
const lateAfterMs = 100;

/** See the module's head. */
export class SquareWaveCalls {
	readonly #wave: CallWave;
	readonly #random: RandomSource;
	readonly #loads: LoadBoard;
	readonly #replica: Replica;
	#calls: Call[] = [];
	#isHigh = false;
	#phaseEndsAt: number;
	#nextAt = 0;
	#begun = 0;
	#late = 0;

	constructor(wave: CallWave, {random, loads, replica}: {readonly random: RandomSource; readonly loads: LoadBoard; readonly replica: Replica}) {
		this.#wave = wave;
		this.#random = random;
		this.#loads = loads;
		this.#replica = replica;
		this.#phaseEndsAt = this.#drawLength(wave.calmMs);
	}

	/** Share of the calls that were late. */
	get lateShare(): number {
		return this.#late / Math.max(1, this.#begun);
	}

	/** Advances to `now`; calls take the slots that items leave free. */
	advance(now: number): void {
		const {callMs} = this.#wave;
		const ended = this.#calls.filter(({startedAt}) => startedAt !== undefined && startedAt + callMs <= now);
		ended.forEach(({release}) => {
			release();
		});
		this.#calls = this.#calls.filter(call => !ended.includes(call));
		this.#arrive(now);
		const running = this.#calls.filter(({startedAt}) => startedAt !== undefined).length;
		const {batch, record} = this.#replica;
		this.#calls.filter(({startedAt}) => startedAt === undefined).slice(0, Math.max(0, record.slots - batch - running)).forEach(call => {
			call.startedAt = now;
			this.#begun += 1;
			this.#late += now - call.arrivedAt > lateAfterMs ? 1 : 0;
		});
	}

	#arrive(now: number) {
		const {perSecond, calmRate, waveRate} = this.#wave;
		while (this.#nextAt <= now) {
			this.#changePhase(this.#nextAt);
			this.#calls.push({arrivedAt: this.#nextAt, startedAt: undefined, release: this.#loads.acquireSlot(this.#replica, 'online')});
			this.#nextAt -= Math.log(1 - this.#random.next()) * 1000 / (perSecond * (this.#isHigh ? waveRate : calmRate));
		}
	}

	#changePhase(now: number) {
		const {calmMs, waveMs, wavesEndAt = Infinity} = this.#wave;
		while (this.#phaseEndsAt <= now) {
			this.#isHigh = !this.#isHigh && this.#phaseEndsAt < wavesEndAt;
			this.#phaseEndsAt += this.#drawLength(this.#isHigh ? waveMs : calmMs);
		}
	}

	#drawLength(meanMs: number): number {
		return this.#wave.isIrregular ? -Math.log(1 - this.#random.next()) * meanMs : meanMs;
	}
}
