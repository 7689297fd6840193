/**
Simulates processes that send waves of online calls to shared replicas, in virtual time and without a network. Like a front, each process chooses replicas by its own counts and the last announcements of the others.

The wave is that of the busiest deployments: 3.8 s at 0.38 times the mean rate, then 2.8 s at 1.84 times, when calls need nine tenths of all slots and more.
*/
import type {RandomSource} from '../../common/services.js';
import {branded} from '../../common/ids.js';
import {chooseForOnline} from '../placement/replica-choice.js';
import {Replica} from '../replica.js';
import type {
	GatewayServiceName, MemberName, ReplicaId, SoftwareVersion,
} from '../types.js';

/** The simulated processes, replicas and load. */
export type Wave = {
	readonly processes: number;
	readonly replicas: number;
	/** Slots of each replica. */
	readonly slots: number;
	/** Mean number of calls per second, over all processes. */
	readonly perSecond: number;
	/** Interval between the announcements of a process, in milliseconds. */
	readonly announceEveryMs: number;
	readonly random: RandomSource;
	/** Number of processes that the choice assumes, if not the real one; with 1, the sample contains all replicas. */
	readonly assumedProcessCount?: number;
	/** Share of answers that half of the replicas lose right after their start; the calls are continued elsewhere. */
	readonly lossShare?: number;
	/** How the choice counts failures: as a share of the requests, or by number, which is as if all requests failed. */
	readonly lossAccounting?: 'share' | 'count';
	/** Number of replicas, the last ones, that are added empty during the second wave. */
	readonly addedReplicas?: number;
};

/** Calls at the added replicas in their first second. */
export type AddedReplicasOutcome = {
	/** Calls at each added replica relative to each of the others; 1 is an equal share. */
	readonly callRatio: number;
	/** Maximum number of calls at one of them at a time, including its queue. */
	readonly maxCalls: number;
};

type Call = {readonly from: number; readonly arrivedAt: number; readonly isRerun: boolean};

type ScheduledEvent = {readonly at: number; readonly act: () => void};

const lengthMs = 26_400;
const periodMs = 6600;
const calmMs = 3800;
const calmLevel = 0.377;
const highLevel = 1.84;
const serviceMs = 680;
const serviceTimeSpread = 0.4;

/** Time at which replicas are added, in milliseconds: half a second into a wave, when all others are full. */
const addedAt = periodMs + calmMs + 500;
const addedWindowMs = 1000;

/** Interval at which processes announce outcomes, in milliseconds, as fronts do. */
const announceOutcomesEveryMs = 250;

/** Time from the start of a run to the loss of its answer, in milliseconds: at the first event. */
const lossDelayMs = 30;

/** A wait that, with transit and prompt processing, delays the first event beyond a latency target of 300 ms. */
const maxWaitMs = 250;

const levelAt = (now: number): number => now % periodMs < calmMs ? calmLevel : highLevel;

/** The simulation. */
export class WaveModel {
	readonly #wave: Wave;
	readonly #views: readonly Replica[][];
	readonly #running: number[];
	readonly #queues: Call[][];
	readonly #scheduled: ScheduledEvent[] = [];
	readonly #waits: number[] = [];
	readonly #outcomesAnnouncedAt: number[];
	readonly #callsOfFirstSecond = {atAdded: 0, elsewhere: 0};
	#maxAtAdded = 0;
	#now = 0;

	constructor(wave: Wave) {
		this.#wave = wave;
		const {processes, replicas, slots} = wave;
		this.#views = Array.from({length: processes}, () => Array.from({length: replicas}, (_, i) => new Replica({
			id: branded<ReplicaId>(`r${i}`), service: branded<GatewayServiceName>('engines'), address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots, isDraining: false,
		})));
		this.#outcomesAnnouncedAt = Array.from({length: processes}, () => 0);
		this.#running = Array.from({length: replicas}, () => 0);
		this.#queues = Array.from({length: replicas}, () => []);
	}

	/** Runs the simulation; if replicas are added, only until their first second is over. @returns The share of calls that waited too long for a slot. */
	run(): number {
		const {processes, announceEveryMs, random, addedReplicas} = this.#wave;
		const endsAt = addedReplicas ? addedAt + addedWindowMs : lengthMs;
		this.#views.forEach((_, process) => {
			this.#at(random.next() * announceEveryMs, () => {
				this.#announce(process);
			});
		});
		this.#at(0, () => {
			this.#arrive(Math.floor(random.next() * processes));
		});
		while (this.#now < endsAt) {
			const next = this.#scheduled.shift()!;
			this.#now = next.at;
			next.act();
		}

		return this.#waits.filter(wait => wait > maxWaitMs).length / this.#waits.length;
	}

	/** Calls at the added replicas. Valid after `run`. */
	get joined(): AddedReplicasOutcome {
		const {replicas, addedReplicas = 0} = this.#wave;
		const {atAdded, elsewhere} = this.#callsOfFirstSecond;
		return {callRatio: (atAdded / addedReplicas) / (elsewhere / (replicas - addedReplicas)), maxCalls: this.#maxAtAdded};
	}

	#arrive(process: number) {
		const {processes, perSecond, random} = this.#wave;
		this.#send({from: process, arrivedAt: this.#now, isRerun: false});
		const gapMs = -Math.log(1 - random.next()) * 1000 / (perSecond * levelAt(this.#now));
		this.#at(this.#now + gapMs, () => {
			this.#arrive(Math.floor(random.next() * processes));
		});
	}

	#send(call: Call) {
		const {processes, random, assumedProcessCount = processes} = this.#wave;
		const {replicas, addedReplicas = 0} = this.#wave;
		const replicaCount = this.#now < addedAt ? replicas - addedReplicas : replicas;
		const view = this.#views[call.from]!.slice(0, replicaCount);
		const chosen = chooseForOnline(view, {
			now: this.#now, random, tried: new Set(), failureDomain: 'hall', processCount: assumedProcessCount, canFailOver: true,
		})!;
		chosen.online += 1;
		const index = view.indexOf(chosen);
		this.#startOrQueue(index, call);
		this.#recordAddedCall(index);
	}

	#recordAddedCall(replica: number) {
		if (this.#now < addedAt || this.#now > addedAt + addedWindowMs) {
			return;
		}

		const {replicas, addedReplicas = 0} = this.#wave;
		const isAdded = replica >= replicas - addedReplicas;
		this.#callsOfFirstSecond[isAdded ? 'atAdded' : 'elsewhere'] += 1;
		if (isAdded) {
			this.#maxAtAdded = Math.max(this.#maxAtAdded, this.#running[replica]! + this.#queues[replica]!.length);
		}
	}

	#startOrQueue(replica: number, call: Call) {
		if (this.#running[replica]! >= this.#wave.slots) {
			this.#queues[replica]!.push(call);
			return;
		}

		this.#running[replica]! += 1;
		this.#startRun(replica, call);
	}

	#startRun(replica: number, call: Call) {
		const {from, arrivedAt, isRerun} = call;
		const isLost = this.#losesAnswer(replica);
		if (!isRerun) {
			this.#waits.push(this.#now - arrivedAt);
		}

		const takesMs = serviceMs * (1 - serviceTimeSpread + (2 * serviceTimeSpread * this.#wave.random.next()));
		this.#at(this.#now + (isLost ? lossDelayMs : takesMs), () => {
			this.#views[from]![replica]!.online -= 1;
			this.#recordOutcome(this.#views[from]![replica]!, isLost);
			this.#running[replica]! -= 1;
			if (isLost) {
				this.#send({...call, isRerun: true});
			}

			const next = this.#queues[replica]!.shift();
			if (next) {
				this.#startOrQueue(replica, next);
			}
		});
	}

	#losesAnswer(replica: number): boolean {
		const {lossShare = 0, random, replicas} = this.#wave;
		return lossShare > 0 && replica < replicas / 2 && random.next() < lossShare;
	}

	#recordOutcome({outcomes}: Replica, hasFailed: boolean) {
		if (hasFailed || this.#wave.lossAccounting !== 'count') {
			outcomes.note(hasFailed, this.#now);
		}
	}

	#announce(process: number) {
		const includesOutcomes = this.#now - this.#outcomesAnnouncedAt[process]! >= announceOutcomesEveryMs;
		this.#outcomesAnnouncedAt[process] = includesOutcomes ? this.#now : this.#outcomesAnnouncedAt[process]!;
		const member = branded<MemberName>(`front-${process}`);
		const announced = this.#views[process]!.map(({online, outcomes}) => ({
			online, outcomes: includesOutcomes && outcomes.failureShare(this.#now) > 0 ? outcomes.ownCounts(this.#now) : undefined,
		}));
		this.#views.filter((_, other) => other !== process).forEach(view => {
			view.forEach((replica, i) => {
				const {online, outcomes} = announced[i]!;
				replica.setPeerLoad(member, {online, batch: 0});
				if (outcomes) {
					replica.outcomes.receivePeerCounts(member, outcomes, this.#now);
				}
			});
		});
		this.#at(this.#now + this.#wave.announceEveryMs, () => {
			this.#announce(process);
		});
	}

	/** Inserts an event in the order of time; events at the same time stay in the order of insertion. */
	#at(at: number, act: () => void) {
		const before = this.#scheduled.findLastIndex(event => event.at <= at);
		this.#scheduled.splice(before + 1, 0, {at, act});
	}
}
