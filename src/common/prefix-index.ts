/**
An entry's index of the prompt blocks that replicas hold. Agents confirm blocks at the end of an answer, and report dropped blocks with sequence numbers; a gap in the numbers means that drops were missed, so all blocks of that replica are removed: a block indexed by mistake would send a long prompt to a replica that must compute it again, while a missing one costs one comparison of loads.
*/
import type {BlockHash, VmName} from './ids.js';
import {tokensPerBlock} from './prefix-blocks.js';

/** Blocks that an engine has dropped between two sequence numbers. */
export type CacheDrops = {
	/** The sequence number from which the list is complete. */
	readonly from: number;
	/** The sequence number up to which it goes. */
	readonly to: number;
	readonly blocks: readonly BlockHash[];
	/** Last blocks of prompts answered in between, which the engine still held at the end. */
	readonly stored?: readonly BlockHash[];
};

type ReplicaBlocks = {seq: number; readonly blocks: Set<BlockHash>};

/** Block hashes by replica, bounded for each. */
export class PrefixIndex {
	readonly #byReplica = new Map<VmName, ReplicaBlocks>();
	readonly #maxBlocks: number;

	/** @param maxBlocks - Blocks stored per replica; the oldest are removed first. A block takes about 100 bytes. */
	constructor(maxBlocks: number) {
		this.#maxBlocks = maxBlocks;
	}

	/** The sequence number up to which a replica's drops were received; 0 for a replica without any record. */
	seqOf(vm: VmName): number {
		return this.#byReplica.get(vm)?.seq ?? 0;
	}

	/** Adds blocks that the replica held at sequence number `seq`. */
	confirmed(vm: VmName, blocks: readonly BlockHash[], seq: number): void {
		const record = this.#byReplica.get(vm) ?? {seq, blocks: new Set<BlockHash>()};
		this.#byReplica.set(vm, record);
		// The confirmation is older than drops already received, and its blocks may be among them.
		if (seq < record.seq) {
			return;
		}

		this.#add(record, blocks);
	}

	/** Applies drops; removes all of the replica's blocks when drops are missing between those received before and these. */
	dropped(vm: VmName, drops: CacheDrops): void {
		const record = this.#byReplica.get(vm) ?? {seq: drops.from, blocks: new Set<BlockHash>()};
		this.#byReplica.set(vm, record);
		if (drops.from > record.seq || drops.to < record.seq) {
			record.blocks.clear();
		}

		drops.blocks.forEach(block => {
			record.blocks.delete(block);
		});
		record.seq = drops.to;
		this.#add(record, drops.stored ?? []);
	}

	/** Removes a replica, for instance when its process was restarted. */
	removeReplica(vm: VmName): void {
		this.#byReplica.delete(vm);
	}

	/** The tokens at the start of a prompt that the replica is known to hold. A block's hash covers all text before it and engines drop a prompt's end first, so the last indexed block implies those before it. */
	cachedTokens(vm: VmName, prompt: readonly BlockHash[]): number {
		const blocks = this.#byReplica.get(vm)?.blocks;
		if (!blocks) {
			return 0;
		}

		return (prompt.findLastIndex(block => blocks.has(block)) + 1) * tokensPerBlock;
	}

	#add(record: ReplicaBlocks, blocks: readonly BlockHash[]) {
		blocks.forEach(block => {
			record.blocks.delete(block);
			record.blocks.add(block);
		});
		this.#trim(record);
	}

	#trim({blocks}: ReplicaBlocks) {
		const excess = blocks.size - this.#maxBlocks;
		if (excess > 0) {
			[...blocks].slice(0, excess).forEach(block => {
				blocks.delete(block);
			});
		}
	}
}
