/**
The other processes of the gateway as far as they are heard: part of the blackboard. Whoever is silent for longer than a few messages is taken for gone, its requests in flight are counted no longer, and its jobs are open to others.
*/
import {EventEmitter} from 'node:events';
import type {Clock, EventLog} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {LoadBoard} from '../load-board.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {BatchJobId, MemberName, ReplicaId} from '../types.js';
import type {PeerState, SharedLoad} from './peer-state.js';

/** A peer sends at least every 250 ms; this many milliseconds of silence are four messages lost in a row, or the peer. */
const silenceMs = 1200;

/** Silence is looked for at least every 250 ms; after a longer time than this between two looks, in milliseconds, this process itself was paused. */
const standstillMs = 600;

/** A peer that is heard. */
export type Peer = {
	readonly state: PeerState;
	readonly heardAt: number;
	readonly jobs: ReadonlySet<BatchJobId>;
};

/** What the table reads and writes. */
export type PeerTableParts = {
	readonly self: MemberName;
	readonly directory: ReplicaDirectory;
	readonly loads: LoadBoard;
	readonly quarantine: Quarantine;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** See the module's head. */
export class PeerTable {
	readonly #parts: PeerTableParts;
	readonly #events = new EventEmitter();
	readonly #peers = new Map<MemberName, Peer>();
	#lookedAt: number;
	/** When this process last went on after a pause. */
	#wokeAt = -Infinity;

	constructor(parts: PeerTableParts) {
		this.#parts = parts;
		this.#lookedAt = parts.clock.now();
	}

	/** Peers that are heard. */
	get live(): readonly Peer[] {
		return [...this.#peers.values()];
	}

	/** Names of the peers that are heard. */
	get names(): ReadonlySet<MemberName> {
		return new Set(this.#peers.keys());
	}

	/** How many processes share the replicas, this one included. */
	get processCount(): number {
		return this.#peers.size + 1;
	}

	/** Calls the listener when a peer comes, goes, or says that it is leaving. */
	onMembership(listener: () => void): void {
		this.#events.on('membership', listener);
	}

	/** Calls the listener with each state that is taken over. */
	onState(listener: (state: PeerState) => void): void {
		this.#events.on('state', listener);
	}

	/** Takes over what a peer says of itself. Messages that another has overtaken change nothing. */
	receive(state: PeerState): void {
		const {self, clock, log} = this.#parts;
		if (state.member === self) {
			return;
		}

		const known = this.#peers.get(state.member);
		if (known && !isNewer(state, known.state)) {
			return;
		}

		this.#peers.set(state.member, {state, heardAt: clock.now(), jobs: new Set(state.jobs)});
		this.#takeLoads(state, known?.state);
		this.#takeOutcomes(state);
		this.#takeCrashes(state);
		this.#events.emit('state', state);
		if (!known) {
			log.emit(gatewayEvents.peerJoined, {peer: state.member, address: state.address});
		}

		if (known?.state.isLeaving !== state.isLeaving || known.state.startedAt !== state.startedAt) {
			this.#events.emit('membership');
		}
	}

	/** Drops the peers that have gone silent. Call it every now and then. */
	removeUnresponsive(): void {
		const {clock, log} = this.#parts;
		const now = clock.now();
		this.#noteStandstill(now);
		const silent = [...this.#peers.values()].filter(({heardAt}) => now - Math.max(heardAt, this.#wokeAt) > silenceMs);
		silent.forEach(({state, heardAt}) => {
			log.emit(gatewayEvents.peerUnresponsive, {peer: state.member, silentMs: Math.round(now - heardAt)});
			this.#peers.delete(state.member);
			this.#takeLoads({...state, loads: []}, state);
		});
		if (silent.length > 0) {
			this.#events.emit('membership');
		}
	}

	/** Timers come before messages: right after a pause, what the peers have sent meanwhile is still unread, and all of them would pass for gone. Their jobs would be claimed and run twice. */
	#noteStandstill(now: number) {
		if (now - this.#lookedAt > standstillMs) {
			this.#wokeAt = now;
		}

		this.#lookedAt = now;
	}

	#takeOutcomes({member, outcomes = []}: PeerState) {
		const {directory, clock} = this.#parts;
		outcomes.forEach(({replica: id, startedAt, ...counts}) => {
			const replica = directory.get(id);
			if (replica?.record.startedAt === startedAt) {
				replica?.outcomes.receivePeerCounts(member, counts, clock.now());
			}
		});
	}

	#takeCrashes({crashes = [], acquitted = []}: PeerState) {
		const {quarantine} = this.#parts;
		quarantine.receiveCrashes(crashes);
		quarantine.receiveCleared(acquitted);
	}

	#takeLoads(after: PeerState, before: PeerState | undefined) {
		const listed = new Set<ReplicaId>(after.loads.map(({replica}) => replica));
		after.loads.forEach(load => {
			this.#note(after.member, load);
		});
		before?.loads.filter(({replica}) => !listed.has(replica)).forEach(({replica}) => {
			this.#note(after.member, {replica, online: 0, batch: 0});
		});
	}

	/** Requests at an earlier start of a replica take no place at this one. */
	#note(peer: MemberName, {replica: id, startedAt, online, batch}: SharedLoad) {
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
