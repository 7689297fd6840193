/**
Ways to lose a VM at a step of a chunk, on the batch path in memory.
*/
import type {FleetAgent, FleetEntry} from './batch-fleet.js';
import {holder, until, type FaultWorld} from './batch-world.js';
import type {CallMoment} from './node-object-api.js';

/** Runs `act` once, at the first call of any agent or entry that fits. */
export const atCall = async (world: FaultWorld, nodes: ReadonlyArray<FleetAgent | FleetEntry>, at: {moment: CallMoment; method: string | RegExp; kind: string}, act: (node: FleetAgent | FleetEntry, name: string) => void | Promise<void>) => {
	let done = false;
	nodes.forEach(node => {
		node.api.hook = async (moment, method, kind, name) => {
			if (!done && moment === at.moment && kind === at.kind && new RegExp(at.method, 'v').test(method)) {
				done = true;
				await act(node, name);
			}
		};
	});
	await until(() => done, `${at.moment} ${String(at.method)} ${at.kind}`);
};

/** Runs `act` once, when a call has reached an agent. */
const atRpc = async (world: FaultWorld, wanted: string, act: (vm: string) => void) => {
	let done = false;
	world.fleet.rpcHook = (method, vm) => {
		if (!done && method === wanted) {
			done = true;
			act(vm);
		}
	};

	await until(() => done, wanted);
};

const loseHolder = (world: FaultWorld) => () => {
	holder(world).lose();
};

const agentNamed = (world: FaultWorld, vm: string) => world.fleet.agents.find(agent => agent.vm === vm)!;

/** How a VM is lost at a step, by VM and step. */
export const losses: Record<string, (world: FaultWorld) => Promise<void>> = {
	'coordinator hands a chunk out': async world => atRpc(world, 'batch.grant', loseHolder(world)),
	'coordinator renews a grant': async world => atRpc(world, 'batch.renew', loseHolder(world)),
	'agent is handed a chunk': async world => atRpc(world, 'batch.grant', vm => {
		agentNamed(world, vm).lose();
	}),
	async 'agent runs an item'(world) {
		let done = false;
		world.fleet.agents.forEach(agent => {
			agent.engine.onAnswer = () => {
				if (!done) {
					done = true;
					agent.lose();
				}
			};
		});
		await until(() => done, 'an item was run');
	},
	'agent is about to commit a chunk': async world => atCall(world, world.fleet.agents, {moment: 'before', method: 'create', kind: 'Result'}, node => {
		node.lose();
	}),
	'agent has committed a chunk': async world => atCall(world, world.fleet.agents, {moment: 'after', method: 'create', kind: 'Result'}, node => {
		node.lose();
	}),
	'coordinator is about to write a status': async world => atCall(world, world.fleet.entries, {moment: 'before', method: 'create|update', kind: 'JobStatus'}, node => {
		node.lose();
	}),
	'coordinator has written a status': async world => atCall(world, world.fleet.entries, {moment: 'after', method: 'create|update', kind: 'JobStatus'}, node => {
		node.lose();
	}),
};
