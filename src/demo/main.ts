/**
The program `citronyard-demo`: the whole path in one process, on stand-ins.
*/
import process from 'node:process';
import sade from 'sade';
import {SystemClock} from '../io/system-clock.js';
import {SeededRandom} from '../io/seeded-random.js';
import {NoMetrics} from '../io/no-metrics.js';
import {version} from '../io/version.js';
import {entryEvents} from '../entry/log-events.js';
import {batchEvents} from '../entry/batch-log-events.js';
import {keyHash} from '../entry/accounts.js';
import {DecisionLog} from './decision-log.js';
import {DemoTour} from './demo-tour.js';
import {fleetResources, LocalFleet, type FleetPlan} from './local-fleet.js';

const apiKey = 'demo-key';
const model = 'tyre-scribe';
const service = 'gate-desk';

const plan: FleetPlan = {
	engines: ['durgapur-hall', 'asansol-hall', 'kolkata-hall'].map((failureDomain, index) => ({vm: `engine-${index + 1}`, failureDomain, models: [model]})),
	services: [{vm: 'service-1', failureDomain: 'durgapur-hall', service}],
	entries: [{vm: 'entry-1', failureDomain: 'durgapur-hall'}],
};

const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const showDecisions = (log: DecisionLog) => {
	print('\nsome of the decisions');
	const {routed} = entryEvents;
	const {chunkGranted} = batchEvents;
	[...log.withNumbers([routed.number]).slice(0, 3), ...log.withNumbers([chunkGranted.number]).slice(0, 1)].forEach(({number, text, fields}) => {
		print(`  event ${number} ${text}: ${JSON.stringify(fields)}`);
	});
};

const showUsage = (url: string) => {
	print(`\nPoint any OpenAI client at ${url}/v1 with the API key ${apiKey}, for instance`);
	print(`  curl -N ${url}/v1/chat/completions -H 'Authorization: Bearer ${apiKey}' -H 'Content-Type: application/json' -d '{"model": "${model}", "stream": true, "messages": [{"role": "user", "content": "Is truck 7 safe?"}]}'`);
};

const run = async (stay: boolean): Promise<void> => {
	print(stay ? 'After the tour, a few seconds, the demo goes on until Ctrl-C.\n' : 'The demo ends by itself after the tour, a few seconds; with --stay it goes on.\n');
	const log = new DecisionLog();
	const fleet = await LocalFleet.start(plan, {
		clock: new SystemClock(), random: new SeededRandom(1), log, metrics: new NoMetrics(),
	});
	try {
		await show(fleet, log);
	} catch (err) {
		fleet.dispose();
		throw err;
	}

	if (!stay) {
		fleet.dispose();
		return;
	}

	showUsage(`http://${fleet.entryAddress()}`);
	print('\nCtrl-C ends the demo.');
};

const show = async (fleet: LocalFleet, log: DecisionLog): Promise<void> => {
	await fleet.apply(fleetResources(plan, [{name: 'nodibandh', keySha256: keyHash(apiKey)}]));
	await fleet.awaitModels(apiKey);
	const url = `http://${fleet.entryAddress()}`;
	print(`entry at ${url}, ${plan.engines.length} engines, object API at http://${fleet.objectApi.address}\n`);
	await new DemoTour({
		url, apiKey, model, service, print,
	}).run();
	showDecisions(log);
};

sade('citronyard-demo', true)
	.version(version)
	.describe('Runs the whole path in one process on stand-ins, and shows it.')
	.option('--stay', 'Go on after the tour, for clients of your own')
	.option('--once', 'End after the tour, as without it')
	.action(async ({stay, once}: {stay?: boolean; once?: boolean}) => {
		try {
			await run(stay === true && once !== true);
		} catch (err) {
			process.stderr.write(`citronyard-demo: ${(err as Error).message}\n`);
			process.exitCode = 1;
		}
	})
	.parse(process.argv);
