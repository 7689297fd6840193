/**
Simulates a process that sends calls to replicas, one of which immediately fails a share of them (a grey failure), in virtual time and without a network.

The load is that of a plain service or a small model on the users' deployments: calls take 0.7 s, about half of the slots are in use, and a failed call ends after 2 ms.
*/
import {branded} from '../../common/ids.js';
import type {RandomSource} from '../../common/services.js';
import {chooseForOnline} from '../placement/replica-choice.js';
import {Replica} from '../replica.js';
import type {GatewayServiceName, ReplicaId, SoftwareVersion} from '../types.js';

/** The simulated load and fault. */
export type GreyFailure = {
	readonly replicas: number;
	readonly slots: number;
	readonly perSecond: number;
	/** Share of its calls that the first replica fails. */
	readonly failing: number;
	readonly random: RandomSource;
	/** Whether outcomes are recorded. */
	readonly areOutcomesRecorded: boolean;
	/** When the fault ends, in milliseconds. */
	readonly endsAt?: number;
};

/** The result of a simulation. */
export type GreyFailureOutcome = {
	/** Share of all calls that failed. */
	readonly failed: number;
	/** Share of the calls in the last 5 s that were sent to the first replica. */
	readonly shareAtEnd: number;
};

const lengthMs = 30_000;
const finalPeriodMs = 5000;
const serviceMs = 700;
const failureMs = 2;

/** Runs the simulation. */
export const simulateGreyFailure = ({replicas, slots, perSecond, failing, random, areOutcomesRecorded, endsAt = Infinity}: GreyFailure): GreyFailureOutcome => {
	const all = Array.from({length: replicas}, (_, i) => new Replica({
		id: branded<ReplicaId>(`r${i}`), service: branded<GatewayServiceName>('engines'), address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots, isDraining: false,
	}));
	const [failingReplica] = all;
	let running: Array<{readonly replica: Replica; readonly endsAt: number; readonly hasFailed: boolean}> = [];
	const counts = {
		calls: 0, failed: 0, last: 0, lastAtGrey: 0,
	};
	for (let now = 0; now < lengthMs; now -= Math.log(1 - random.next()) * 1000 / perSecond) {
		running.filter(run => run.endsAt <= now).forEach(({replica, hasFailed}) => {
			replica.online -= 1;
			if (areOutcomesRecorded) {
				replica.outcomes.note(hasFailed, now);
			}
		});
		running = running.filter(run => run.endsAt > now);
		const replica = chooseForOnline(all, {
			now, random, tried: new Set(), failureDomain: 'hall', processCount: 1, canFailOver: false,
		})!;
		const hasFailed = replica === failingReplica && now < endsAt && random.next() < failing;
		replica.online += 1;
		running.push({replica, endsAt: now + (hasFailed ? failureMs : serviceMs), hasFailed});

		counts.calls += 1;
		counts.failed += hasFailed ? 1 : 0;
		counts.last += now >= lengthMs - finalPeriodMs ? 1 : 0;
		counts.lastAtGrey += now >= lengthMs - finalPeriodMs && replica === failingReplica ? 1 : 0;
	}

	return {failed: counts.failed / counts.calls, shareAtEnd: counts.lastAtGrey / counts.last};
};
