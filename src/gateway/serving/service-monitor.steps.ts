/**
Steps for the reports on the service of a process.
*/
import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {
	Given, Then, When, type DataTable,
} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import type {EventDefinition, LogFields} from '../../common/types.js';
import {NodeLifecycle} from '../../common/node-lifecycle.js';
import {NoMetrics} from '../../io/no-metrics.js';
import {SystemClock} from '../../io/system-clock.js';
import {ConfigBoard} from '../config-board.js';
import {gatewayEvents} from '../log-events.js';
import {ReplicaDirectory} from '../replica-directory.js';
import {registrationOf} from '../testing/registrations.js';
import {ServiceMonitor} from './service-monitor.js';
import {Readiness} from './readiness.js';
import {CallOutcomes} from './call-outcomes.js';

type MonitorWorld = TestWorld & {
	outcomes: CallOutcomes;
	board: ConfigBoard;
	directory: ReplicaDirectory;
	monitor: ServiceMonitor;
	gauges: Map<string, number>;
	logged: Array<{readonly event: EventDefinition; readonly fields: LogFields}>;
};

/** Longer than the interval at which the monitor looks. */
const lookMs = 300;

/** Longer than the interval of its reports. */
const reportMs = 1400;

const loggedAs = ({logged}: MonitorWorld, wanted: EventDefinition): LogFields[] => logged.filter(({event}) => event === wanted).map(({fields}) => fields);

const monitorProcess = (world: MonitorWorld, lifecycle: NodeLifecycle) => {
	world.logged = [];
	world.gauges = new Map();
	world.outcomes = new CallOutcomes();
	world.board = new ConfigBoard();
	world.directory = new ReplicaDirectory();
	const monitor = new ServiceMonitor({
		readiness: new Readiness({lifecycle, board: world.board, directory: world.directory}),
		outcomes: world.outcomes,
		board: world.board,
		directory: world.directory,
		configFeed: {heardAt: -Infinity},
		replicaFeed: {heardAt: -Infinity},
		reachesObjectApi: () => true,
		peerCount: () => 0,
		waitingCalls: () => 0,
		quarantinedCount: () => 0,
		clock: new SystemClock(),
		log: {
			emit(event, fields = {}) {
				world.logged.push({event, fields});
			},
		},
		metrics: Object.assign(new NoMetrics(), {
			gauge(name: string, value: number) {
				world.gauges.set(name, value);
			},
		}),
	});
	world.monitor = world.register(monitor);
	world.register(lifecycle);
};

Given('a monitored process', function (this: MonitorWorld) {
	const lifecycle = new NodeLifecycle();
	lifecycle.send('started');
	monitorProcess(this, lifecycle);
	this.monitor.start();
});

Given('a monitored process that still starts', function (this: MonitorWorld) {
	monitorProcess(this, new NodeLifecycle());
});

When('its metrics are read', function (this: MonitorWorld) {
	this.monitor.recordGauges();
});

Then('the gauges {string} are infinite', function (this: MonitorWorld, names: string) {
	assert.deepEqual(names.split(', ').map(name => this.gauges.get(name)), names.split(', ').map(() => Infinity));
});

When('it receives a configuration', async function (this: MonitorWorld) {
	await pause(lookMs);
	this.board.applyIfNewer({
		version: 1, routes: [], services: [], limits: {
			maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
		},
	});
	await pause(lookMs);
});

When('it receives {int} replica(s)', async function (this: MonitorWorld, count: number) {
	Array.from({length: count}, (_, i) => registrationOf(`r${i}`)).forEach(record => {
		this.directory.put(record);
	});
	await pause(lookMs);
});

When('{int} call(s) end(s) as {string}', function (this: MonitorWorld, count: number, reason: string) {
	Array.from({length: count}, () => reason).forEach(one => {
		this.outcomes.note(one);
	});
});

Then('its readiness changes are logged as:', function (this: MonitorWorld, table: DataTable) {
	const changes = loggedAs(this, gatewayEvents.readinessChanged).map(({reason, replicas}) => ({reason, replicas: String(replicas)}));
	assert.deepEqual(changes, table.hashes());
});

Then('the stages {string} of its start are logged once', async function (this: MonitorWorld, names: string) {
	await until(() => loggedAs(this, gatewayEvents.firstCallServed).length > 0, 'the first served call is logged');
	await pause(lookMs);
	const lines = loggedAs(this, gatewayEvents.firstCallServed);
	assert.equal(lines.length, 1);
	assert.deepEqual(Object.keys(lines[0]!).toSorted(), names.split(', ').toSorted());
});

Then('an impaired second is logged with {int} calls as {string}', async function (this: MonitorWorld, count: number, reason: string) {
	await until(() => loggedAs(this, gatewayEvents.serviceImpaired).length > 0, 'the impaired second is logged');
	const [{reasons} = {}] = loggedAs(this, gatewayEvents.serviceImpaired);
	assert.equal((reasons as Record<string, number>)[reason], count);
});

Then('no impaired second is logged', async function (this: MonitorWorld) {
	await pause(reportMs);
	assert.deepEqual(loggedAs(this, gatewayEvents.serviceImpaired), []);
});
