/**
Simulates processes whose callers ask for more than their shared replicas can serve, in virtual time and without a network. Admission and the choice of replicas are those of the gateway; engines serve in order of arrival and refuse nothing. A refused caller comes back once, at any process.
*/
import {branded} from '../../common/ids.js';
import type {RandomSource} from '../../common/services.js';
import {ManualClock} from '../../common/testing/manual-clock.js';
import {CallRanks} from '../accounts/call-ranks.js';
import type {AdmissionControl} from '../admission/admission-control.js';
import {DeadlineAdmission} from '../admission/deadline-admission.js';
import {TargetAdmission} from '../admission/target-admission.js';
import {chooseForOnline} from '../placement/replica-choice.js';
import {ServiceTimes} from '../placement/service-times.js';
import {Replica} from '../replica.js';
import type {
	ClientAccountName, GatewayRoute, GatewayServiceName, MemberName, ReplicaId, SoftwareVersion,
} from '../types.js';

/** Calls of one account. */
export type AccountLoad = {
	readonly name: string;
	readonly perSecond: number;
	/** Its declared rate; the same as that of the others by default. */
	readonly weight?: number;
	readonly priority?: number;
	/** In milliseconds; the whole time by default. */
	readonly from?: number;
	readonly until?: number;
	/** Whether all its calls come to the first process. */
	readonly isAtFirstProcess?: boolean;
};

/** The simulated processes, replicas and load. */
export type Scarcity = {
	readonly processes: number;
	readonly replicas: number;
	readonly accounts: readonly AccountLoad[];
	readonly lengthMs: number;
	readonly random: RandomSource;
	/** `deadline` is the rule without admission by target. */
	readonly rule?: 'target' | 'deadline';
	/** Share of the announcements of demand that are lost. */
	readonly lostShare?: number;
	/** Time at which all processes forget what they know, in milliseconds. */
	readonly restartAt?: number;
	/** Whether the last process hears nothing from the others, nor they from it. */
	readonly isLastCutOff?: boolean;
	/** Callers arriving before this are not counted, in milliseconds. */
	readonly countedFrom?: number;
};

/** What became of the counted callers of one account. */
export type AccountOutcome = {
	callers: number;
	onTime: number;
	/** Callers that were refused once, and then served in their target. */
	onTimeAfterReturn: number;
	late: number;
	lost: number;
};

/** What became of all counted callers. */
export type ScarcityOutcome = {
	readonly accounts: ReadonlyMap<string, AccountOutcome>;
	/** The longest time after its arrival at which a call was refused, in milliseconds. */
	readonly slowestRefusalMs: number;
	/** Calls that were neither answered nor refused at the end. */
	readonly undecided: number;
	/** Bytes of the longest announcement of demand. */
	readonly announcedBytes: number;
	/** Most callers that came back within a tenth of a second. */
	readonly mostReturns: number;
};

type Caller = {readonly account: AccountLoad; readonly outcome: AccountOutcome | undefined; readonly until: number; readonly isReturned: boolean};
type Process = {readonly name: MemberName; readonly replicas: readonly Replica[]; times: ServiceTimes; admission: AdmissionControl & Partial<Pick<TargetAdmission, 'waiting' | 'poll' | 'announcement' | 'receive' | 'dispose'>>};
type Engine = {running: number; readonly queue: Array<() => void>};

export const modelTargetMs = 300;
export const modelRunMs = 700;
export const modelSlots = 8;
const readingMs = 25;
const timeLimitMs = 5000;
const stepMs = 5;
const announceEveryMs = 40;
const runSpread = 0.4;
const service = branded<GatewayServiceName>('engines');
export const modelRoute: GatewayRoute = {
	name: 'assist', host: 'h', pathPrefix: '/', kind: 'stream', timeoutMs: timeLimitMs, latencyTargetMs: modelTargetMs, maxRuns: 2, isResumable: true, isAnonymous: false, priority: 0, targets: [{service, weight: 1}],
};

/** Calls a second that replicas finish. */
export const modelRoom = (replicas: number): number => replicas * modelSlots * 1000 / modelRunMs;

/** The simulation. */
export class ScarcityModel {
	readonly #load: Scarcity;
	readonly #clock = new ManualClock();
	readonly #processes: Process[];
	readonly #engines: readonly Engine[];
	readonly #due: Array<Array<() => void>>;
	readonly #accounts: Map<string, AccountOutcome>;
	readonly #returns: number[] = [];
	#slowestRefusalMs = 0;
	#undecided = 0;
	#announcedBytes = 0;

	constructor(load: Scarcity) {
		this.#load = load;
		this.#engines = Array.from({length: load.replicas}, () => ({running: 0, queue: []}));
		this.#due = Array.from({length: Math.ceil((load.lengthMs + (3 * timeLimitMs)) / stepMs) + 1}, () => []);
		this.#accounts = new Map(load.accounts.map(({name}) => [name, {
			callers: 0, onTime: 0, onTimeAfterReturn: 0, late: 0, lost: 0,
		}]));
		this.#processes = Array.from({length: load.processes}, (_, i) => ({name: branded<MemberName>(`p${i}`), replicas: this.#replicas(), ...this.#newState()}));
	}

	run(): ScarcityOutcome {
		this.#load.accounts.forEach(account => {
			this.#planNext(account, account.from ?? 0);
		});
		if (this.#load.restartAt !== undefined) {
			this.#at(this.#load.restartAt, () => {
				this.#processes.forEach(process => {
					// Calls that wait at a process end with it.
					this.#undecided -= process.admission.waiting ?? 0;
					process.admission.dispose?.();
					Object.assign(process, this.#newState());
				});
			});
		}

		this.#due.forEach((acts, i) => {
			// An act may add further ones to its own step.
			for (let act = acts.shift(); act; act = acts.shift()) {
				act();
			}

			this.#processes.forEach((process, p) => {
				process.admission.poll?.();
				if ((i + p) % (announceEveryMs / stepMs) === 0) {
					this.#announce(process);
				}
			});
			this.#clock.advance(stepMs);
		});
		this.#processes.forEach(({admission}) => {
			admission.dispose?.();
		});
		return {
			accounts: this.#accounts, slowestRefusalMs: this.#slowestRefusalMs, undecided: this.#undecided, announcedBytes: this.#announcedBytes, mostReturns: Math.max(0, ...this.#returns.filter(count => count > 0)),
		};
	}

	#newState(): Pick<Process, 'times' | 'admission'> {
		const clock = this.#clock;
		const load = this.#load;
		const {random, accounts, rule = 'target'} = load;
		const times = new ServiceTimes();
		const ranks = new CallRanks(clock);
		const weights = new Map(accounts.map(({name, weight}) => [name, weight]));
		const otherwise = new DeadlineAdmission({serviceTimes: times, ranks, clock});
		const admission = rule === 'deadline'
			? otherwise
			: new TargetAdmission({
				otherwise, isByTarget: () => true, serviceTimes: times, ranks, replicasOf: () => this.#processes[0]!.replicas, processCount: () => load.processes, weightOf: owner => weights.get(owner), clock, random, log: {emit: () => undefined}, metrics: {count: () => undefined, gauge: () => undefined, timing: () => undefined},
			});
		return {times, admission};
	}

	#replicas(): readonly Replica[] {
		return this.#engines.map((_, i) => new Replica({
			id: branded<ReplicaId>(`r${i}`), service, address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots: modelSlots, isDraining: false,
		}));
	}

	#at(at: number, act: () => void) {
		this.#due[Math.max(Math.ceil(at / stepMs), Math.round(this.#clock.now() / stepMs))]?.push(act);
	}

	#planNext(account: AccountLoad, after: number) {
		const {lengthMs, random, countedFrom = 0} = this.#load;
		const at = after - (Math.log(1 - random.next()) * 1000 / account.perSecond);
		if (at >= Math.min(lengthMs, account.until ?? Infinity)) {
			return;
		}

		this.#at(at, () => {
			const outcome = at >= countedFrom ? this.#accounts.get(account.name) : undefined;
			if (outcome) {
				outcome.callers += 1;
			}

			this.#call({
				account, outcome, until: this.#clock.now() + timeLimitMs, isReturned: false,
			});
			this.#planNext(account, at);
		});
	}

	#call(caller: Caller) {
		const {account} = caller;
		const arrivedAt = this.#clock.now();
		const process = this.#processes[account.isAtFirstProcess ? 0 : Math.floor(this.#load.random.next() * this.#processes.length)]!;
		this.#undecided += 1;
		const admission = process.admission.request({
			id: '', route: modelRoute, service, account: {
				name: branded<ClientAccountName>(account.name), accountKeys: [], priority: account.priority,
			}, arrivedAt, timeLimitMs: caller.until - arrivedAt, candidates: () => process.replicas,
		}, outcome => {
			this.#undecided -= 1;
			if (outcome.kind === 'admitted') {
				this.#send(process, caller, arrivedAt, () => {
					admission.dispose();
				});
				return;
			}

			this.#slowestRefusalMs = Math.max(this.#slowestRefusalMs, this.#clock.now() - arrivedAt);
			this.#comeBack(caller, outcome.retryAfterMs);
		});
	}

	#comeBack(caller: Caller, afterMs: number) {
		if (caller.isReturned) {
			this.#count(caller, 'lost');
			return;
		}

		const at = this.#clock.now() + afterMs;
		const tenth = Math.floor(at / 100);
		this.#returns[tenth] = (this.#returns[tenth] ?? 0) + 1;
		this.#at(at, () => {
			this.#call({...caller, isReturned: true});
		});
	}

	#count({outcome}: Caller, end: Exclude<keyof AccountOutcome, 'callers'>) {
		if (outcome) {
			outcome[end] += 1;
		}
	}

	#send(process: Process, caller: Caller, arrivedAt: number, onEnd: () => void) {
		const {random} = this.#load;
		const replica = chooseForOnline(process.replicas, {
			now: this.#clock.now(), random, tried: new Set(), failureDomain: 'hall', processCount: this.#processes.length, canFailOver: true,
		})!;
		const engine = this.#engines[process.replicas.indexOf(replica)]!;
		const sentAt = this.#clock.now();
		const hadFreeSlot = replica.total < modelSlots;
		const {times} = process;
		replica.online += 1;
		const start = () => {
			engine.running += 1;
			const isInTarget = this.#clock.now() + readingMs - arrivedAt <= modelTargetMs;
			const runMs = modelRunMs * (1 + ((random.next() - 0.5) * runSpread));
			this.#at(this.#clock.now() + runMs, () => {
				engine.running -= 1;
				replica.online -= 1;
				if (hadFreeSlot) {
					times.recordDuration(service, this.#clock.now() - sentAt);
				}

				onEnd();
				engine.queue.shift()?.();
			});
			this.#count(caller, isInTarget ? (caller.isReturned ? 'onTimeAfterReturn' : 'onTime') : 'late');
		};

		if (engine.running < modelSlots) {
			start();
		} else {
			engine.queue.push(start);
		}
	}

	#announce(sender: Process) {
		const {lostShare = 0, random, isLastCutOff = false} = this.#load;
		const {demand} = sender.admission.announcement?.() ?? {};
		this.#announcedBytes = Math.max(this.#announcedBytes, demand ? JSON.stringify(demand).length : 0);
		const last = this.#processes.at(-1);
		this.#processes.filter(receiver => receiver !== sender && !(isLastCutOff && (receiver === last || sender === last))).forEach(receiver => {
			receiver.replicas.forEach((replica, i) => {
				replica.setPeerLoad(sender.name, {online: sender.replicas[i]!.online, batch: 0});
			});
			if (random.next() >= lostShare) {
				receiver.admission.receive?.({member: sender.name, demand});
			}
		});
	}
}
