/**
The peers that keep the origin of a stream. Every process ranks its live peers by the stream's key, so the process that resumes a stream finds the peers that the first process has chosen, without a directory. If the views of two processes differ by a peer or two, the ranks are shifted by as many places, so more peers are queried than store an origin.
*/
import {EventEmitter} from 'node:events';
import {rankMembers} from '../../common/rendezvous.js';
import {h32} from '../../common/xxhash.js';
import type {PeerTable, Peer} from '../peers/peer-table.js';
import type {MemberName} from '../types.js';
import type {StreamKey} from './stream-origin.js';

/** Number of peers that keep an origin: one may be lost together with the front that sent the stream. */
export const copies = 2;

/** Number of peers that are asked for an origin. */
const askedPeers = 4;

/** Keys are ranked in this many groups, so that hundreds of peers are not ranked again for each stream. */
const groups = 4096;

/** Ranked peers of a group: those that are asked, and some more in case peers are shutting down. */
const rankedPeers = 2 * askedPeers;

/** See the module's head. */
export class OriginHolders {
	readonly #events = new EventEmitter();
	readonly #peers: Pick<PeerTable, 'live' | 'onMembership'>;
	/** The first names by group; emptied when the peers change. */
	readonly #ranked = new Map<number, readonly string[]>();
	#byName: ReadonlyMap<string, Peer> | undefined;
	/** When each live peer has started. */
	#starts: ReadonlyMap<MemberName, number> = new Map();

	constructor(peers: Pick<PeerTable, 'live' | 'onMembership'>) {
		this.#peers = peers;
		peers.onMembership(() => {
			this.#ranked.clear();
			this.#byName = undefined;
			this.#events.emit('change', this.#updateStarts());
		});
	}

	/** Calls the listener when peers have joined or left, with the names of those that no longer keep what they were sent: they have left or restarted. */
	onChange(listener: (lost: ReadonlySet<MemberName>) => void): void {
		this.#events.on('change', listener);
	}

	/** The peers at which an origin is to be kept. Those that are shutting down keep none. */
	of(key: StreamKey): Peer[] {
		return this.#rank(key).filter(({state}) => !state.isLeaving).slice(0, copies);
	}

	/** The peers that may know an origin. */
	toAsk(key: StreamKey): Peer[] {
		return this.#rank(key).slice(0, askedPeers);
	}

	/** @returns The names of peers that have left or restarted since the last call. */
	#updateStarts(): ReadonlySet<MemberName> {
		const before = this.#starts;
		this.#starts = new Map(this.#peers.live.map(({state}) => [state.member, state.startedAt]));
		return new Set([...before].filter(([name, startedAt]) => this.#starts.get(name) !== startedAt).map(([name]) => name));
	}

	#rank(key: StreamKey): Peer[] {
		const byName = this.#byName ?? new Map(this.#peers.live.filter(({state}) => state.keepsOrigins === true).map(peer => [peer.state.member as string, peer]));
		this.#byName = byName;
		const group = h32(key) % groups;
		const names = this.#ranked.get(group) ?? rankMembers(`streams-${group}`, [...byName.keys()]).slice(0, rankedPeers);
		this.#ranked.set(group, names);
		return names.map(name => byName.get(name)!);
	}
}
