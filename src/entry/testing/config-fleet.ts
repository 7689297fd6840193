/**
Entries that follow the configuration on a network in memory, for the steps of several features.
*/
import {ConfigTable} from '../../common/config-table.js';
import {configWatchers} from '../../common/config-upstream.js';
import {branded} from '../../common/ids.js';
import type {EventLog, ObjectApi} from '../../common/services.js';
import {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import type {VmEntry} from '../../common/types.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {SystemClock} from '../../io/system-clock.js';
import {ConfigFollower} from '../config-follower.js';
import {ConfigNetwork, type LinkFault} from './config-network.js';

/** The kind of the objects that the steps write. */
export const modelKind = 'ServedModel';

export const clock = new SystemClock();
export const silentLog: EventLog = {emit: () => undefined};

/** An entry that follows. */
export type ConfigNode = {
	readonly vm: VmEntry;
	readonly table: ConfigTable;
	readonly follower: ConfigFollower;
	readonly dataFolder?: string;
};

const entryVm = (domain: number, index: number): VmEntry => ({
	name: branded(`d${domain}-e${index}`), role: 'entry', address: `10.0.${domain}.${index}:80`, failureDomain: branded(`d${domain}`), state: 'live',
});

/** Entries in several failure domains, an object API and the links between. */
export class ConfigFleet {
	readonly api = new FakeObjectApi();
	readonly network = new ConfigNetwork(clock);
	readonly entries: readonly VmEntry[];
	/** Models as they were written last. */
	readonly expected = new Map<string, unknown>();
	/** Addresses of the nodes that called the object API. */
	readonly askers = new Set<string>();
	readonly #nodes = new Map<string, ConfigNode>();
	readonly #world: TestWorld;

	constructor(world: TestWorld, domains: number, entriesEach: number) {
		this.#world = world;
		this.entries = Array.from({length: domains}, (_, domain) => Array.from({length: entriesEach}, (__, index) => entryVm(domain + 1, index + 1))).flat();
		this.entries.forEach(vm => {
			this.startNode(vm);
		});
	}

	get nodes(): readonly ConfigNode[] {
		return [...this.#nodes.values()];
	}

	get watchers(): readonly ConfigNode[] {
		const names = new Set(configWatchers(this.entries));
		return this.nodes.filter(({vm}) => names.has(vm.name));
	}

	get followers(): readonly ConfigNode[] {
		const {watchers} = this;
		return this.nodes.filter(node => !watchers.includes(node));
	}

	startNode(vm: VmEntry, dataFolder?: string): ConfigNode {
		const table = new ConfigTable();
		const follower = this.#world.register(new ConfigFollower({
			api: this.#watched(vm.address),
			clock,
			random: new SeededRandom(this.#nodes.size),
			log: silentLog,
			table,
			vm: vm.name,
			entries: () => this.entries,
			ask: this.network.askerOf(vm.address),
			dataFolder,
		}));
		this.network.listen(vm.address, async poll => follower.answer(poll));
		void follower.run();
		const node = {
			vm, table, follower, dataFolder,
		};
		this.#nodes.set(vm.name, node);
		return node;
	}

	stopNode(node: ConfigNode): void {
		node.follower.dispose();
		this.network.close(node.vm.address);
		this.#nodes.delete(node.vm.name);
	}

	/** Creates or changes a model, as an operator would. */
	async write(name: string): Promise<void> {
		const value = {name, change: this.expected.size, at: clock.now()};
		const known = await this.api.get(modelKind, name);
		const written = known.isRight()
			? await this.api.update(modelKind, name, value, known.unsafeCoerce().version)
			: await this.api.create(modelKind, name, value);
		this.expected.set(name, written.unsafeCoerce().value);
	}

	/** Whether a table has the model as it was written last. */
	hasModel(table: ConfigTable, name: string): boolean {
		return this.expected.has(name) && JSON.stringify(table.get(modelKind, name)) === JSON.stringify(this.expected.get(name));
	}

	/** Whether all nodes have it. */
	allHave(name: string): boolean {
		return this.nodes.every(({table}) => this.hasModel(table, name));
	}

	/** Breaks the links from each of some addresses to each of others. */
	cut(from: readonly string[], to: readonly string[], fault: LinkFault): void {
		from.forEach(source => {
			to.filter(target => target !== source).forEach(target => {
				this.network.fail(source, target, fault);
			});
		});
	}

	#watched(address: string): ObjectApi {
		return new Proxy(this.network.apiOf(address, this.api), {
			get: (target, method) => {
				this.askers.add(address);
				return Reflect.get(target, method) as unknown;
			},
		});
	}
}
