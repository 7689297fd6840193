/**
Simulates processes that send waves of online calls to shared replicas, in virtual time and without a network. Like a front, each process chooses replicas by its own counts and the last announcements of the others.

The wave is that of the busiest deployments: 3.8 s at 0.38 times the mean rate, then 2.8 s at 1.84 times, when calls need nine tenths of all slots and more.
*/
import type {RandomSource} from '../../common/services.js';
import {branded} from '../../common/ids.js';
import {chooseForOnline} from '../placement/replica-choice.js';
import {PaceAnnouncements} from '../placement/pace-announcements.js';
import {RelativePaces} from '../placement/relative-paces.js';
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
	/** If given, replicas differ in pace, and processes observe it on their own streams. */
	readonly pace?: WavePace;
};

/** How the replicas differ in pace, and what the processes do about it. */
export type WavePace = {
	/** Speeds of the replicas in turn; 1 is the speed that the load is based on. */
	readonly speeds: readonly number[];
	/** Whether replicas are slow for a while every few seconds, one of them after the other. */
	readonly hasSlowSpells: boolean;
	/** Whether the choice takes the observed paces into account. */
	readonly isUsed: boolean;
	/** Share of the announcements of paces that are lost; 1 if processes never hear of each other's observations. */
	readonly lostAnnouncements: number;
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

/** Mean time between two events of a stream, in milliseconds, at speed 1. */
const msPerEvent = 34;

/** Slow spells: their interval and length at each replica, in milliseconds, and their factor. */
const spellEveryMs = 4000;
const spellLengthMs = 600;
const spellFactor = 2.5;

/** Time to read a prompt at speed 1, in milliseconds. */
const readingMs = 50;

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

/** A wait for the first event, in milliseconds, that is beyond the latency target. */
const maxWaitMs = 300;

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
	readonly #paces: readonly RelativePaces[];
	readonly #paceAnnouncements: readonly PaceAnnouncements[];
	readonly #callsOfFirstSecond = {atAdded: 0, elsewhere: 0};
	#maxAtAdded = 0;
	#now = 0;

	constructor(wave: Wave) {
		this.#wave = wave;
		const {processes, replicas, slots} = wave;
		this.#views = Array.from({length: processes}, () => Array.from({length: replicas}, (_, i) => new Replica({
			id: branded<ReplicaId>(`r${i}`), service: branded<GatewayServiceName>('engines'), address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots, isDraining: false,
		})));
		const clock = {now: () => this.#now};
		this.#paces = this.#views.map(view => new RelativePaces({replicasOf: () => view, clock}));
		this.#paceAnnouncements = this.#views.map(view => new PaceAnnouncements({directory: {all: view, getStart: id => view.find(({record}) => record.id === id)}, clock}));
		this.#outcomesAnnouncedAt = Array.from({length: processes}, () => 0);
		this.#running = Array.from({length: replicas}, () => 0);
		this.#queues = Array.from({length: replicas}, () => []);
	}

	/** Runs the simulation; if replicas are added, only until their first second is over. @returns The share of calls that got their first event too late. */
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
		const {replicas, addedReplicas = 0, pace} = this.#wave;
		const replicaCount = this.#now < addedAt ? replicas - addedReplicas : replicas;
		const view = this.#views[call.from]!.slice(0, replicaCount);
		const chosen = chooseForOnline(view, {
			now: this.#now, random, tried: new Set(), failureDomain: 'hall', processCount: assumedProcessCount, canFailOver: true, paces: pace?.isUsed ? this.#paces[call.from] : undefined,
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
			this.#waits.push(this.#now - arrivedAt + (readingMs * this.#slowness(replica)));
		}

		const takesMs = serviceMs * (1 - serviceTimeSpread + (2 * serviceTimeSpread * this.#wave.random.next()));
		this.#generate(replica, from, isLost ? lossDelayMs : takesMs, () => {
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

	/** Time that a replica takes for anything now, relative to speed 1. */
	#slowness(replica: number): number {
		const {pace, replicas} = this.#wave;
		if (!pace) {
			return 1;
		}

		const isSlow = pace.hasSlowSpells && (this.#now + (replica * spellEveryMs / replicas)) % spellEveryMs < spellLengthMs;
		return (isSlow ? spellFactor : 1) / pace.speeds[replica % pace.speeds.length]!;
	}

	/** Generates a stream that takes `ms` at speed 1, event by event if paces are observed. */
	#generate(replica: number, from: number, ms: number, onEnd: () => void) {
		if (!this.#wave.pace) {
			this.#at(this.#now + ms, onEnd);
			return;
		}

		const gapMs = Math.min(ms, msPerEvent) * this.#slowness(replica);
		this.#at(this.#now + gapMs, () => {
			this.#views[from]![replica]!.pace.observe(gapMs, 1, this.#now);
			if (ms > msPerEvent) {
				this.#generate(replica, from, ms - msPerEvent, onEnd);
				return;
			}

			onEnd();
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
		this.#announcePaces(process);
		this.#at(this.#now + this.#wave.announceEveryMs, () => {
			this.#announce(process);
		});
	}

	#announcePaces(process: number) {
		const {pace, random} = this.#wave;
		if (!pace) {
			return;
		}

		const section = this.#paceAnnouncements[process]!.section();
		this.#paceAnnouncements.filter((_, other) => other !== process && random.next() >= pace.lostAnnouncements).forEach(exchange => {
			exchange.receive(section);
		});
	}

	/** Inserts an event in the order of time; events at the same time stay in the order of insertion. */
	#at(at: number, act: () => void) {
		const before = this.#scheduled.findLastIndex(event => event.at <= at);
		this.#scheduled.splice(before + 1, 0, {at, act});
	}
}
