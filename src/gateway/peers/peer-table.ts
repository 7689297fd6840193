/**
The other live processes of the gateway and the state that each has announced: part of the blackboard. A peer from which several messages in a row are missing is considered terminated: its requests in flight no longer count, and other processes may claim its jobs.
*/
import {EventEmitter} from 'node:events';
import type {Clock, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {LoadBoard} from '../load-board.js';
import type {PartQuarantine} from '../quarantine/part-quarantine.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {BatchJobId, MemberName, ReplicaId} from '../types.js';
import type {PeerState, SharedLoad} from './peer-state.js';
import {withChanges, type StateChanges} from './state-changes.js';

/** A peer sends at least every 250 ms. After this many milliseconds without a message, either four messages in a row were lost or the peer has terminated. */
const unresponsiveAfterMs = 1200;

/** Unresponsive peers are looked for at least every 250 ms. If two checks are further apart than this, in milliseconds, this process itself was paused. */
const pauseThresholdMs = 600;

/** A live peer. */
export type Peer = {
	readonly state: PeerState;
	readonly lastSeenAt: number;
	readonly jobs: ReadonlySet<BatchJobId>;
};

/** Dependencies of the table. */
export type PeerTableParts = {
	readonly self: MemberName;
	readonly directory: ReplicaDirectory;
	readonly loads: LoadBoard;
	readonly quarantine: Quarantine;
	readonly partQuarantine: PartQuarantine;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** See the module's head. */
export class PeerTable {
	readonly #parts: PeerTableParts;
	readonly #events = new EventEmitter();
	readonly #peers = new Map<MemberName, Peer>();
	#checkedAt: number;
	/** When this process last resumed after a pause. */
	#resumedAt = -Infinity;

	constructor(parts: PeerTableParts) {
		this.#parts = parts;
		this.#checkedAt = parts.clock.now();
	}

	/** Live peers. */
	get live(): readonly Peer[] {
		return [...this.#peers.values()];
	}

	/** Names of the live peers. */
	get names(): ReadonlySet<MemberName> {
		return new Set(this.#peers.keys());
	}

	/** Number of processes that share the replicas, this one included. */
	get processCount(): number {
		return this.#peers.size + 1;
	}

	/** Calls the listener when a peer joins, restarts or is removed, or announces that it is leaving. */
	onMembership(listener: () => void): void {
		this.#events.on('membership', listener);
	}

	/** Calls the listener with each state that is applied. */
	onState(listener: (state: PeerState) => void): void {
		this.#events.on('state', listener);
	}

	/** Applies a state that a peer has announced. Messages that a later one has overtaken are ignored. */
	receive(state: PeerState): void {
		const {self, clock, log} = this.#parts;
		if (state.member === self) {
			return;
		}

		const previous = this.#peers.get(state.member);
		if (previous && !isNewer(state, previous.state)) {
			return;
		}

		this.#peers.set(state.member, {state, lastSeenAt: clock.now(), jobs: new Set(state.jobs)});
		this.#applyLoads(state, previous?.state);
		this.#applySections(state);
		if (!previous) {
			log.emit(gatewayEvents.peerJoined, {peer: state.member, address: state.address});
		}

		if (previous?.state.isLeaving !== state.isLeaving || previous.state.startedAt !== state.startedAt) {
			this.#events.emit('membership');
		}
	}

	/** Applies changes of a known peer's state. Those that a later message has overtaken are ignored, and so are those of a start whose complete state has not been received: it follows soon. */
	receiveChanges(changes: StateChanges): void {
		const known = this.#peers.get(changes.member);
		if (known?.state.startedAt !== changes.startedAt || changes.seq <= known.state.seq) {
			return;
		}

		const state = withChanges(known.state, changes);
		this.#peers.set(state.member, {state, lastSeenAt: this.#parts.clock.now(), jobs: changes.jobs ? new Set(changes.jobs) : known.jobs});
		changes.loads.forEach(load => {
			this.#applyLoad(state.member, load);
		});
		this.#applySections(state);
		if (known.state.isLeaving !== state.isLeaving) {
			this.#events.emit('membership');
		}
	}

	/** Removes unresponsive peers. To be called regularly. */
	removeUnresponsive(): void {
		const {clock, log} = this.#parts;
		const now = clock.now();
		this.#detectPause(now);
		const unresponsive = [...this.#peers.values()].filter(({lastSeenAt}) => now - Math.max(lastSeenAt, this.#resumedAt) > unresponsiveAfterMs);
		unresponsive.forEach(({state, lastSeenAt}) => {
			log.emit(gatewayEvents.peerUnresponsive, {peer: state.member, silentMs: Math.round(now - lastSeenAt)});
			this.#peers.delete(state.member);
			this.#parts.partQuarantine.withdrawTrialsOf(state.member);
			this.#applyLoads({...state, loads: []}, state);
		});
		if (unresponsive.length > 0) {
			this.#events.emit('membership');
		}
	}

	/** Timers fire before messages are read: right after a pause, the messages that peers have sent meanwhile are still unread, and all peers would be considered terminated. Their jobs would be claimed and run twice. */
	#detectPause(now: number) {
		if (now - this.#checkedAt > pauseThresholdMs) {
			this.#resumedAt = now;
		}

		this.#checkedAt = now;
	}

	#applySections(state: PeerState) {
		this.#applyOutcomes(state);
		this.#applyCrashes(state);
		this.#events.emit('state', state);
	}

	#applyOutcomes({member, outcomes = []}: PeerState) {
		const {directory, clock} = this.#parts;
		outcomes.forEach(({replica: id, startedAt, ...counts}) => {
			directory.getStart(id, startedAt)?.outcomes.receivePeerCounts(member, counts, clock.now());
		});
	}

	#applyCrashes({crashes = [], acquitted = [], partCrashes = [], clearedParts = [], withdrawnTrials = []}: PeerState) {
		const {quarantine, partQuarantine} = this.#parts;
		partQuarantine.receiveCrashes(partCrashes);
		partQuarantine.receiveCleared(clearedParts);
		partQuarantine.receiveWithdrawn(withdrawnTrials);
		quarantine.receiveCrashes(crashes);
		quarantine.receiveCleared(acquitted);
	}

	#applyLoads(after: PeerState, before: PeerState | undefined) {
		const listed = new Set<ReplicaId>(after.loads.map(({replica}) => replica));
		after.loads.forEach(load => {
			this.#applyLoad(after.member, load);
		});
		before?.loads.filter(({replica}) => !listed.has(replica)).forEach(({replica}) => {
			this.#applyLoad(after.member, {replica, online: 0, batch: 0});
		});
	}

	/** Requests at an earlier start of a replica occupy no slot at the current one. */
	#applyLoad(peer: MemberName, {replica: id, startedAt, online, batch}: SharedLoad) {
		const replica = this.#parts.directory.get(id);
		if (!replica) {
			return;
		}

		const isOfThisStart = startedAt === replica.record.startedAt;
		replica.setPeerLoad(peer, isOfThisStart ? {online, batch} : undefined);
		this.#parts.loads.notifyPeerChange(replica);
	}
}

const isNewer = (state: PeerState, known: PeerState): boolean => state.startedAt === known.startedAt ? state.seq > known.seq : state.startedAt > known.startedAt;
