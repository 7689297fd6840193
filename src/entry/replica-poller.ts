/**
Keeps the replica table up to date: reads the VM list, and asks each agent for its load.
*/
import type {LoadReport} from '../common/protocol.js';
import type {ReplicaTable, ReplicaView} from '../common/replica-table.js';
import type {
	Clock, Disposable, EventLog, VmList,
} from '../common/services.js';
import type {VmEntry} from '../common/types.js';
import type {RpcClient} from '../platform/rpc-client.js';
import {entryEvents} from './log-events.js';

/** What the poller is made of. */
export type PollerParts = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly vmList: VmList;
	readonly rpc: RpcClient;
	readonly replicas: ReplicaTable;
	readonly loadPollMs: number;
	readonly vmListPollMs: number;
	/** Milliseconds that one report may take. */
	readonly loadTimeoutMs: number;
};

/** Polls until disposed. */
export class ReplicaPoller implements Disposable {
	readonly #parts: PollerParts;
	readonly #asking = new Set<string>();
	#entries: readonly VmEntry[] = [];
	#disposed = false;

	constructor(parts: PollerParts) {
		this.#parts = parts;
	}

	/** The entry VMs of the last list that was read. */
	get entries(): readonly VmEntry[] {
		return this.#entries;
	}

	/** Polls for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		await Promise.all([this.#pollList(), this.#pollLoads()]);
	}

	dispose(): void {
		this.#disposed = true;
	}

	/** Reads the VM list once and asks every agent once. */
	async readAll(): Promise<void> {
		await this.#readList();
		await Promise.all(this.#parts.replicas.all.map(async replica => this.#ask(replica)));
	}

	async #pollList() {
		while (!this.#disposed) {
			await this.#parts.clock.sleep(this.#parts.vmListPollMs);
			await this.#readList();
		}
	}

	// When the list can not be read, the last one stands: the agents' own reports still say who is there.
	async #readList() {
		const {vmList, replicas, log} = this.#parts;
		const read = await vmList.read();
		read
			.ifRight(vms => {
				this.#entries = vms.filter(vm => vm.role === 'entry');
				replicas.applyVmList(vms);
			})
			.ifLeft(err => {
				log.emit(entryEvents.vmListFailed, {reason: err.kind});
			});
	}

	async #pollLoads() {
		while (!this.#disposed) {
			await this.#parts.clock.sleep(this.#parts.loadPollMs);
			this.#parts.replicas.all.forEach(replica => {
				void this.#ask(replica);
			});
		}
	}

	async #ask(replica: ReplicaView) {
		if (this.#asking.has(replica.vm)) {
			return;
		}

		this.#asking.add(replica.vm);
		const {rpc, replicas, loadTimeoutMs} = this.#parts;
		const report = await rpc.call<LoadReport>({address: replica.address, timeoutMs: loadTimeoutMs}, 'agent.load', {cacheSince: replicas.prefixes.seqOf(replica.vm)});
		this.#asking.delete(replica.vm);
		report
			.ifRight(load => {
				replicas.heard(replica.vm, load);
			})
			.ifLeft(() => {
				replicas.failed(replica.vm);
			});
	}
}
