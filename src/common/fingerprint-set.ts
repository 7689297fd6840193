/**
A set of names that stores 64 bits of each, to find duplicates among very many of them: 130,000 names take 4 MiB at most, a tenth of what the names themselves would. Two different names are taken for the same once in about 10^9 files of that size.
*/
import {h64} from './xxhash.js';

const initialSlots = 1024;
const maxLoadFactor = 0.5;
// Zero marks a free slot.
const emptySlot = 0n;

/** Open addressing over fingerprints. */
export class FingerprintSet {
	#slots = new BigUint64Array(initialSlots);
	#size = 0;

	/** Number of names in the set. */
	get size(): number {
		return this.#size;
	}

	/**
	Adds a name.

	@returns False when it is already in the set.
	*/
	add(name: string): boolean {
		if (this.#size >= this.#slots.length * maxLoadFactor) {
			this.#grow();
		}

		const hash = h64(name);
		return this.#insert(hash === emptySlot ? 1n : hash);
	}

	#insert(fingerprint: bigint): boolean {
		let slot = Number(BigInt.asUintN(32, fingerprint)) % this.#slots.length;
		while (this.#slots[slot] !== emptySlot) {
			if (this.#slots[slot] === fingerprint) {
				return false;
			}

			slot = (slot + 1) % this.#slots.length;
		}

		this.#slots[slot] = fingerprint;
		this.#size += 1;
		return true;
	}

	#grow() {
		const old = this.#slots;
		this.#slots = new BigUint64Array(old.length * 2);
		this.#size = 0;
		old.filter(fingerprint => fingerprint !== emptySlot).forEach(fingerprint => {
			this.#insert(fingerprint);
		});
	}
}
