/**
Steps for the report on versions in force.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Right} from 'purify-ts/Either';
import type {ResourceStatus} from '../../typings/resources.js';
import {branded} from '../common/ids.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {until} from '../common/testing/until.js';
import {InForceReporter} from './in-force-reporter.js';
import {statusName, StatusWriter} from './status-writer.js';
import {
	clock, modelKind, silentLog, type ConfigFleet, type ConfigNode,
} from './testing/config-fleet.js';
import {apiNode} from './testing/config-network.js';

type ReportWorld = TestWorld & {
	fleet: ConfigFleet;
	subject: ConfigNode;
	writers: Set<string>;
};

const statusOf = (world: ReportWorld, name: string) => world.fleet.api.all<ResourceStatus>('ResourceStatus').find(status => status.name === statusName(modelKind, name))?.value;

Given('each of them may report', function (this: ReportWorld) {
	const {fleet} = this;
	this.writers = new Set();
	fleet.nodes.forEach(({vm, table}) => {
		const api = new Proxy(fleet.network.apiOf(vm.address, fleet.api), {
			get: (target, method) => async (...args: readonly unknown[]) => {
				if (args[0] === 'ResourceStatus' && (method === 'create' || method === 'update')) {
					this.writers.add(vm.name);
				}

				return (Reflect.get(target, method) as (...params: unknown[]) => Promise<unknown>)(...args);
			},
		});
		const reporter = this.register(new InForceReporter({
			api,
			clock,
			log: silentLog,
			table,
			vm: vm.name,
			self: branded(vm.name),
			entries: () => fleet.entries.map(entry => entry.name),
			nodesKnown: () => fleet.entries.length,
			gather: async () => Right(fleet.watchers.flatMap(({follower}) => follower.counts())),
		}));
		void reporter.run();
	});
});

Given('an entry is cut off from everything', function (this: ReportWorld) {
	const node = this.fleet.followers.at(-1)!;
	this.fleet.cut([node.vm.address], [apiNode, ...this.fleet.entries.map(({address}) => address)], 'refused');
});

Given('the answer to the next write of a status will be lost', function (this: ReportWorld) {
	const {api} = this.fleet;
	api.beforeCall = (call, kind) => {
		if (kind === 'ResourceStatus' && call === 'create') {
			api.loseNextAnswer();
			api.beforeCall = undefined;
		}
	};
});

When('another controller reports that model {string} is ready', async function (this: ReportWorld, name: string) {
	const written = await new StatusWriter(this.fleet.api, clock).write(modelKind, name, {
		observedGeneration: 1,
		conditions: [{
			type: 'Ready', status: 'True', reason: 'EnoughReplicas', message: 'it is ready',
		}],
	});
	assert.ok(written.isRight());
});

Then('the status of model {string} becomes {string}, {string}', async function (this: ReportWorld, name: string, wanted: string, tally: string) {
	const isWanted = () => {
		const status = statusOf(this, name);
		return `${status?.nodesInForce} of ${status?.nodesKnown}` === tally
			&& status?.conditions.some(({type, status: value}) => type === 'InForce' && value === wanted) === true;
	};

	await until(isWanted, `the status says ${tally}`);
});

Then('one entry wrote both', function (this: ReportWorld) {
	assert.equal(this.writers.size, 1);
});

Then('the status of model {string} still says that it is ready', function (this: ReportWorld, name: string) {
	assert.ok(statusOf(this, name)?.conditions.some(({type, status}) => type === 'Ready' && status === 'True'));
});

Then('model {string} has no status', async function (this: ReportWorld, name: string) {
	await until(() => statusOf(this, name) === undefined, 'the status is removed');
});
