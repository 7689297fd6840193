/**
Records the traces that `src/common/replay.feature` replays: `npm run record-trace`. A small fleet serves requests while a VM leaves, an agent drains, another one dies and an entry is lost, so that the decisions recorded are those that matter.

To be run again when a policy, or what it is asked, has changed on purpose; the commit says why the choices changed.
*/
import {createHash} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DecisionRecord} from '../src/common/decision-trace.js';
import {DecisionLog} from '../src/demo/decision-log.js';
import {fleetResources, LocalFleet, type FleetPlan} from '../src/demo/local-fleet.js';
import {Caller} from '../src/load/caller.js';
import {traceLine} from '../src/io/jsonl-trace.js';
import {NoMetrics} from '../src/io/no-metrics.js';
import {SeededRandom} from '../src/io/seeded-random.js';
import {SystemClock} from '../src/io/system-clock.js';

const folder = 'src/common/testing/traces';
const kept = {route: 280, lease: 200} as const;
const apiKey = 'key-of-nodibandh';
const model = 'tyre-scribe';
const requestsPerRound = 35;
const concurrency = 8;
const seed = 1;
// Long enough for the VM list and for the agents' reports to reach the entries.
const settleMs = 700;
const leaseMs = 600;
const domains = ['durgapur-hall', 'asansol-hall', 'kolkata-hall'] as const;

const plan: FleetPlan = {
	engines: Array.from({length: 4}, (_, index) => ({vm: `vm-${index + 1}`, failureDomain: domains[index % domains.length]!, models: [model]})),
	entries: [{vm: 'entry-1', failureDomain: domains[0]}, {vm: 'entry-2', failureDomain: domains[1]}],
	entry: {online: {vmListPollMs: 200, silenceMs: 500}, batch: {leaseMs}},
};

const records: DecisionRecord[] = [];
const fleet = await LocalFleet.start(plan, {
	clock: new SystemClock(),
	random: new SeededRandom(seed),
	log: new DecisionLog(),
	metrics: new NoMetrics(),
	trace: {
		write(decision) {
			// As of now: the tables go on.
			records.push(structuredClone(decision));
		},
	},
});
const caller = new Caller();

const askMany = async () => {
	let left = requestsPerRound;
	const ask = async () => {
		while (left > 0) {
			left -= 1;
			await caller.generate({
				model, prompt: `Wear alert of truck ${left % 7}, ${'pressure '.repeat(10 * (left % 5))}`, maxTokens: 4 + (left % 12), stream: true,
			}, {address: fleet.entryAddress(left % 2 === 0 ? 'entry-1' : 'entry-2'), apiKey});
		}
	};

	await Promise.all(Array.from({length: concurrency}, ask));
};

const phases: ReadonlyArray<() => void> = [
	() => undefined,
	() => {
		fleet.vmList.setVm('vm-1', {
			role: 'backend', address: fleet.agents.get('vm-1')!.address, failureDomain: domains[0], state: 'leaving',
		});
	},
	() => {
		void fleet.agents.get('vm-2')!.drain();
	},
	() => {
		fleet.agents.get('vm-3')!.dispose();
	},
];

const save = (kind: keyof typeof kept) => {
	const found = records.filter(record => record.kind === kind);
	// The beginning and the end: the calm start, and what the last fault brought about.
	const half = kept[kind] / 2;
	const lines = [...found.slice(0, half), ...found.slice(half).slice(-half)].map(record => traceLine(record));
	writeFileSync(`${folder}/${kind}.jsonl`, `${lines.join('\n')}\n`);
	process.stdout.write(`${folder}/${kind}.jsonl: ${lines.length} decisions\n`);
};

await fleet.apply(fleetResources(plan, [{name: 'nodibandh', keySha256: createHash('sha256').update(apiKey).digest('hex')}]));
await fleet.awaitModels(apiKey);
for (const phase of phases) {
	phase();
	// The change spreads while requests go on, and has been taken in when the second round begins.
	await askMany();
	await sleep(settleMs);
	await askMany();
}

fleet.entries.get('entry-2')!.dispose();
await sleep(4 * leaseMs);
caller.dispose();
fleet.dispose();
mkdirSync(folder, {recursive: true});
save('route');
save('lease');
