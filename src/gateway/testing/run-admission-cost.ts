/**
Prints the cost of admission by target: microseconds a decision while slots are scarce, and bytes of an announcement of demand. Usage: `npx tsx src/gateway/testing/run-admission-cost.ts ACCOUNTS PEERS`
*/
import process from 'node:process';
import {branded} from '../../common/ids.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {SystemClock} from '../../io/system-clock.js';
import {CallRanks} from '../accounts/call-ranks.js';
import {DeadlineAdmission} from '../admission/deadline-admission.js';
import {TargetAdmission} from '../admission/target-admission.js';
import {ServiceTimes} from '../placement/service-times.js';
import {Replica} from '../replica.js';
import type {
	ClientAccountName, MemberName, ReplicaId, SoftwareVersion,
} from '../types.js';
import {modelRoute, modelRunMs, modelSlots} from './scarcity-model.js';

const [accounts = 73, peers = 17] = process.argv.slice(2).map(Number);
const {service} = modelRoute.targets[0]!;
const decisions = 20_000;
const fleetSizes = [30, 300, 5200];

/** Every peer announces this part of the accounts; a caller stays with one process. */
const accountsOfPeer = 8;

const measure = (size: number): string => {
	const clock = new SystemClock();
	const random = new SeededRandom(1);
	const serviceTimes = new ServiceTimes();
	Array.from({length: 20}).forEach(() => {
		serviceTimes.recordDuration(service, modelRunMs);
	});
	const replicas = Array.from({length: size}, (_, i) => {
		const replica = new Replica({
			id: branded<ReplicaId>(`r${i}`), service, address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots: modelSlots, isDraining: false,
		});
		replica.online = modelSlots + Math.floor(random.next() * 3);
		return replica;
	});
	const ranks = new CallRanks(clock);
	const admission = new TargetAdmission({
		otherwise: new DeadlineAdmission({serviceTimes, ranks, clock}), isByTarget: () => true, serviceTimes, ranks, replicasOf: () => replicas, processCount: () => peers + 1, weightOf: () => undefined, clock, random, metrics: {count: () => undefined, gauge: () => undefined, timing: () => undefined}, log: {emit: () => undefined},
	});
	Array.from({length: peers}).forEach((_, peer) => {
		admission.receive({
			member: branded<MemberName>(`p${peer}`), demand: Array.from({length: accountsOfPeer}, (_entry, i) => ({
				service, owner: `account-${((peer * accountsOfPeer) + i) % accounts}`, rank: 0, running: 2, perSecond: 3,
			})),
		});
	});
	const startedAt = performance.now();
	Array.from({length: decisions}).forEach((_, i) => {
		admission.request({
			id: '', route: modelRoute, service, account: {name: branded<ClientAccountName>(`account-${i % accounts}`), accountKeys: []}, arrivedAt: clock.now(), timeLimitMs: modelRoute.timeoutMs, candidates: () => replicas,
		}, () => undefined).dispose();
	});
	const microseconds = (performance.now() - startedAt) * 1000 / decisions;
	const bytes = JSON.stringify(admission.announcement().demand ?? []).length;
	admission.dispose();
	return `${size} replicas, ${peers} peers, ${accounts} accounts: ${microseconds.toFixed(1)} us a decision; ${bytes} bytes an announcement`;
};

process.stdout.write(`${fleetSizes.map(size => measure(size)).join('\n')}\n`);
