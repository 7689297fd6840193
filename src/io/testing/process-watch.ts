/**
What a process holds, as the system counts it, sampled while it runs.
*/
import {readdirSync, readFileSync} from 'node:fs';
import type {Disposable} from '../../common/services.js';

const sampleMs = 100;

const peakMemoryPattern = /^VmHWM:\s*(?<kilobytes>\d+) kB$/mv;

/** Watches one process until it is disposed of. */
export class ProcessWatch implements Disposable {
	readonly #pid: number;
	readonly #timer: NodeJS.Timeout;
	#peakMemoryBytes = 0;
	#peakDescriptors = 0;

	constructor(pid: number) {
		this.#pid = pid;
		this.#timer = setInterval(() => {
			this.#sample();
		}, sampleMs);
	}

	/** The largest resident memory since the process started, in megabytes of 1,000,000 bytes. */
	get peakMemoryMb(): number {
		this.#sample();
		return this.#peakMemoryBytes / 1_000_000;
	}

	/** The largest number of open descriptors that was seen. */
	get peakDescriptors(): number {
		return this.#peakDescriptors;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#sample() {
		try {
			const status = readFileSync(`/proc/${this.#pid}/status`, 'utf8');
			this.#peakMemoryBytes = Math.max(this.#peakMemoryBytes, 1024 * Number(peakMemoryPattern.exec(status)?.groups?.kilobytes ?? 0));
			this.#peakDescriptors = Math.max(this.#peakDescriptors, readdirSync(`/proc/${this.#pid}/fd`).length);
		} catch {
			// The process has ended; what was seen before counts.
		}
	}
}
