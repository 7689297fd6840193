/**
Hands a job over to the next process at a shutdown: results that are ready are committed, and the progress of the items is sent to the peer that ranks next for the job, so that their next runs resume from it.

The progress is passed directly between processes, since the next one starts as soon as it has the job: written to the object API, it reached the next process only after that one had started each text from the beginning. When processes shut down one after the other, items then lost their progress each time, and their repeated runs took slots that others needed; and the object API may be unavailable. It is written there only if no peer accepts it.
*/
import {jsonBytes} from '../../common/json-size.js';
import {rankMembers} from '../../common/rendezvous.js';
import type {Clock, EventLog, ObjectApi} from '../../common/services.js';
import type {RpcClient} from '../../io/rpc-client.js';
import {gatewayEvents} from '../log-events.js';
import type {Peer, PeerTable} from '../peers/peer-table.js';
import type {BatchJobId, MemberName} from '../types.js';
import {
	recordNames, type HandoverRecord, type ItemProgress, type ItemResult,
} from './batch-records.js';
import type {ContentStore} from './content-store.js';
import type {JobRun} from './job-run.js';

/** The name of the method in calls between processes. */
export const takeOverMethod = 'gateway.takeOver';

/** What a process hands over of a job. */
export type JobHandover = {
	readonly job: BatchJobId;
	/** Items that have no result. */
	readonly items: readonly ItemProgress[];
	/** Results that are not committed yet. */
	readonly results: readonly ItemResult[];
};

/** The answer of the process that is asked to take the job over. */
export type JobHandoverAnswer = {readonly isTaken: boolean};

/** Dependencies of the sender. */
export type HandoverSenderParts = {
	readonly self: MemberName;
	readonly api: ObjectApi;
	readonly contents: ContentStore;
	readonly peers: PeerTable;
	readonly rpc: RpcClient;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** A shutdown waits this long, in milliseconds, for results to be committed, and as long for the progress to be written if no peer accepts it; with both, half of the time to shut down is left for callers. */
const writeTimeoutMs = 1000;

/** A peer takes a job over as soon as it has read it, some ten milliseconds; one that needs longer than this, in milliseconds, has terminated or is paused. */
const takeOverTimeoutMs = 400;

/** The number of peers that are asked, in the order of the ranking: if two in a row do not answer, more would take too long. */
const maxAskedPeers = 2;

/** See the module's head. */
export class HandoverSender {
	readonly #parts: HandoverSenderParts;

	constructor(parts: HandoverSenderParts) {
		this.#parts = parts;
	}

	/** @param run - The runs of its items must have been cancelled. */
	async handOver(run: JobRun): Promise<void> {
		const {job} = run;
		await run.writer.flush(writeTimeoutMs);
		if (!job?.isOpen) {
			return;
		}

		const handover: JobHandover = {job: job.id, items: run.progress(), results: run.writer.pending};
		const portions = portionsOf(handover, this.#parts.contents.maxBytes);
		const successor = await this.#sendToSuccessor(job.id, portions);
		this.#parts.log.emit(gatewayEvents.jobHandedOver, {
			job: job.id, to: successor, items: handover.items.length, results: handover.results.length,
		});
		if (successor === undefined && handover.items.length > 0) {
			await Promise.race([this.#writeProgress(portions), this.#parts.clock.sleep(writeTimeoutMs)]);
		}
	}

	/** @returns The peer that has taken the job over. */
	async #sendToSuccessor(job: BatchJobId, portions: readonly JobHandover[]): Promise<MemberName | undefined> {
		for (const {state} of this.#successors(job)) {
			if (await this.#sendAll(state.rpcAddress, portions)) {
				return state.member;
			}
		}

		return undefined;
	}

	/** @returns Whether the peer has taken all portions. One that has taken some of them keeps these. */
	async #sendAll(address: string, portions: readonly JobHandover[]): Promise<boolean> {
		for (const portion of portions) {
			const answered = await this.#parts.rpc.call<JobHandoverAnswer>({address, timeoutMs: takeOverTimeoutMs}, takeOverMethod, portion);
			if (!answered.map(({isTaken}) => isTaken).orDefault(false)) {
				return false;
			}
		}

		return true;
	}

	#successors(job: BatchJobId): Peer[] {
		const staying = this.#parts.peers.live.filter(({state}) => !state.isLeaving);
		const byName = new Map(staying.map(peer => [peer.state.member as string, peer]));
		return rankMembers(job, [...byName.keys()]).slice(0, maxAskedPeers).map(name => byName.get(name)!);
	}

	async #writeProgress(portions: readonly JobHandover[]) {
		const {api, contents, self, clock} = this.#parts;
		const startedAt = clock.wall();
		for (const [i, {job, items}] of portions.entries()) {
			const content = contents.newName(job);
			const written = await contents.write(content, {type: 'progress', items});
			if (written.isRight()) {
				const record: HandoverRecord = {type: 'handover', job, content};
				await api.create('BatchRecord', recordNames.handover(job, `${self}-${startedAt}-${i}`), record);
			}
		}
	}
}

type Portion = {readonly job: BatchJobId; readonly items: ItemProgress[]; readonly results: ItemResult[]};

/** Splits a handover, so that each message and each content is within the limits of those that receive it. A text that alone exceeds them is left out, and generated again. */
export const portionsOf = ({job, items, results}: JobHandover, maxBytes: number): readonly JobHandover[] => {
	const portions: Portion[] = [{job, items: [], results: []}];
	let bytes = 0;
	const add = <T extends ItemProgress | ItemResult>(entry: T, listIn: (portion: Portion) => T[]) => {
		const size = jsonBytes(entry);
		if (size > maxBytes) {
			return;
		}

		bytes += size;
		if (bytes > maxBytes) {
			portions.push({job, items: [], results: []});
			bytes = size;
		}

		listIn(portions.at(-1)!).push(entry);
	};

	items.forEach(item => {
		add(item, portion => portion.items);
	});
	results.forEach(result => {
		add(result, portion => portion.results);
	});
	return portions;
};
