/**
Keeps the replica table up to date: reads the VM list, and asks each agent for its load.

An agent that does not answer in time is asked again on a connection of its own, and the first question stays open: on a busy machine every report may take longer than that, and an entry that gave up on each would hear none of its replicas, though all are well.
*/
import type {VmName} from '../common/ids.js';
import type {LoadReport} from '../common/protocol.js';
import {allUnresponsiveFactor, type ReplicaTable, type ReplicaView} from '../common/replica-table.js';
import type {
	Clock, Disposable, EventLog, VmList,
} from '../common/services.js';
import type {VmEntry} from '../common/types.js';
import type {RpcClient} from '../io/rpc-client.js';
import {entryEvents} from './log-events.js';

/** What the poller is made of. */
export type PollerParts = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly vmList: VmList;
	readonly rpc: RpcClient;
	readonly replicas: ReplicaTable;
	/** Makes later calls to an `ip:port` use new connections: those that are kept may be silent for good. */
	readonly renewConnections: (address: string) => void;
	readonly loadPollMs: number;
	readonly vmListPollMs: number;
	/** Milliseconds without an answer after which an agent is asked again. */
	readonly loadTimeoutMs: number;
	/** Milliseconds without a report after which a replica that is asked every `loadPollMs` gets no new work. */
	readonly silenceMs: number;
	/** Reports that are asked for in a second at the most; with more replicas than this allows, each is asked less often. */
	readonly loadPollsPerSecond: number;
	/** The replicas to keep in touch with; see {@link chooseSubset}. */
	readonly subset: () => ReadonlySet<VmName>;
};

const msPerSecond = 1000;

/** A backend server is back within about this long after it was restarted, in milliseconds. */
const restartMs = 5000;

/** Replicas asked for one request that finds none; one that serves is enough, and while a model is down its callers are many. */
const maxAskedAnew = 3;

/** Polls until disposed. */
export class ReplicaPoller implements Disposable {
	readonly #parts: PollerParts;
	readonly #asking = new Set<string>();
	readonly #askedAt = new Map<VmName, number>();
	/** Questions that several requests may wait for. */
	readonly #askedAnew = new Map<VmName, Promise<void>>();
	/** Questions that an agent has not answered yet. */
	readonly #openQuestions = new Map<VmName, number>();
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

	/** Reads the VM list once and asks each replica of the subset once. */
	async readAll(): Promise<void> {
		const {replicas, subset} = this.#parts;
		await this.#readList();
		const members = [...subset()].flatMap(vm => replicas.get(vm) ?? []);
		await Promise.all(members.map(async replica => this.#askUnlessAsked(replica)));
	}

	/**
	Asks the replicas that have lately stopped serving a target, before a caller is told that none does: what is known of them is as old as the last poll, and a restart may be over.

	@returns Whether there was any to ask. Resolves when they have answered, or were asked for too long.
	*/
	async askAnew(target: string): Promise<boolean> {
		const candidates = this.#parts.replicas.stoppedServing(target, restartMs).slice(0, maxAskedAnew);
		await Promise.all(candidates.map(async replica => {
			const asked = this.#askedAnew.get(replica.vm) ?? this.#ask(replica);
			this.#askedAnew.set(replica.vm, asked);
			await asked;
			this.#askedAnew.delete(replica.vm);
		}));
		return candidates.length > 0;
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
				this.#forgetGone();
			})
			.ifLeft(err => {
				log.emit(entryEvents.vmListFailed, {reason: err.kind === 'unavailable' ? err.reason : err.kind});
			});
	}

	#forgetGone() {
		[...this.#askedAt.keys()].filter(vm => !this.#parts.replicas.get(vm)).forEach(vm => {
			this.#askedAt.delete(vm);
			this.#openQuestions.delete(vm);
		});
	}

	async #pollLoads() {
		const {clock, loadPollMs, replicas} = this.#parts;
		while (!this.#disposed) {
			const sleptAt = clock.now();
			await clock.sleep(loadPollMs);
			const lateMs = clock.now() - sleptAt - loadPollMs;
			if (lateMs > loadPollMs) {
				replicas.compensateForPause(lateMs);
			}

			this.#askThoseDue();
		}
	}

	// Loads ride on answers too: a replica that answered lately is not asked.
	#askThoseDue() {
		const {clock, replicas, subset, loadPollMs, loadPollsPerSecond, silenceMs} = this.#parts;
		const members = [...subset()].flatMap(vm => replicas.get(vm) ?? []);
		const intervalMs = Math.max(loadPollMs, members.length * msPerSecond / loadPollsPerSecond);
		// A replica that is asked less often is heard of less often too.
		replicas.silentMs = silenceMs * intervalMs / loadPollMs;
		const dueAt = clock.now() - intervalMs + (loadPollMs / 2);
		members.filter(({vm, heardAt}) => Math.max(heardAt, this.#askedAt.get(vm) ?? Number.NEGATIVE_INFINITY) <= dueAt).forEach(replica => {
			void this.#askUnlessAsked(replica);
		});
	}

	async #askUnlessAsked(replica: ReplicaView) {
		if (!this.#asking.has(replica.vm)) {
			this.#asking.add(replica.vm);
			await this.#ask(replica);
			this.#asking.delete(replica.vm);
		}
	}

	async #ask(replica: ReplicaView) {
		this.#askedAt.set(replica.vm, this.#parts.clock.now());
		const {clock, replicas, loadTimeoutMs, renewConnections} = this.#parts;
		const isAnswered = await Promise.race([this.#readLoad(replica).then(() => true), clock.sleep(loadTimeoutMs).then(() => false)]);
		if (!isAnswered) {
			replicas.failed(replica.vm, `no report within ${loadTimeoutMs} ms`);
			renewConnections(replica.address);
		}
	}

	async #readLoad({vm, address}: ReplicaView) {
		const {rpc, replicas, silenceMs} = this.#parts;
		const openQuestions = this.#openQuestions.get(vm) ?? 0;
		this.#openQuestions.set(vm, openQuestions + 1);
		const report = await rpc.call<LoadReport>({
			address, timeoutMs: allUnresponsiveFactor * silenceMs, fresh: openQuestions > 0,
		}, 'agent.load', {cacheSince: replicas.prefixes.seqOf(vm)});
		this.#openQuestions.set(vm, (this.#openQuestions.get(vm) ?? 1) - 1);
		report
			.ifRight(load => {
				replicas.applyReport(vm, load);
			})
			.ifLeft(({kind, reason}) => {
				replicas.failed(vm, `report ${kind}: ${reason}`);
			});
	}
}
