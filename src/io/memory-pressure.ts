/**
Collects garbage when a process comes close to the memory of its VM. V8 collects by the limit of its heap, which is not the VM's, and learns late of the memory of buffers; clients can make a server produce garbage faster than that.
*/
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Part of the VM's memory above which garbage is collected. */
const pressureShare = 0.7;

/** Resident memory is read whenever this much has been received or allocated for clients, in bytes. */
const bytesPerCheck = 2_000_000;

/** Part of the VM's memory by which a process must have grown since a collection before the next one: memory that a collection does not give back would bring about one after the other. */
const growthShare = 0.05;

/** Pause after a collection, in multiples of its duration, so that collections never take most of the processor. */
const pauseFactor = 1;

type CollectGarbage = () => void;

/** V8 offers no collection on request unless this option is set. */
const obtainCollector = (): CollectGarbage => {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as CollectGarbage;
};

/** See the module's head. */
export class MemoryPressure {
	readonly #memoryBytes: number;
	#collect: CollectGarbage | undefined;
	#bytesSinceCheck = 0;
	/** Resident memory, and earliest moment, of the next collection. */
	#nextBytes: number;
	#nextAt = 0;

	/** @param memoryBytes - Memory that the VM grants to the process. */
	constructor(memoryBytes: number) {
		this.#memoryBytes = memoryBytes;
		this.#nextBytes = this.#thresholdBytes;
	}

	/** Notes that so many bytes were received from clients, or allocated for them. */
	note(bytes: number): void {
		this.#bytesSinceCheck += bytes;
		if (this.#bytesSinceCheck >= bytesPerCheck) {
			this.#bytesSinceCheck = 0;
			this.#check();
		}
	}

	#check() {
		const now = performance.now();
		if (now < this.#nextAt) {
			return;
		}

		const residentBytes = process.memoryUsage.rss();
		if (residentBytes < this.#nextBytes) {
			this.#nextBytes = Math.min(this.#nextBytes, this.#thresholdAfter(residentBytes));
			return;
		}

		this.#collect ??= obtainCollector();
		this.#collect();
		const endedAt = performance.now();
		this.#nextAt = endedAt + (pauseFactor * (endedAt - now));
		this.#nextBytes = this.#thresholdAfter(process.memoryUsage.rss());
	}

	get #thresholdBytes(): number {
		return pressureShare * this.#memoryBytes;
	}

	#thresholdAfter(residentBytes: number): number {
		return Math.max(this.#thresholdBytes, residentBytes + (growthShare * this.#memoryBytes));
	}
}
