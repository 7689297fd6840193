/**
Clock of this machine.
*/
import {performance} from 'node:perf_hooks';
import {type Clock} from '../common/services.js';

/** A {@link Clock} based on the monotonic clock of the process and the wall clock of the machine. */
export class SystemClock implements Clock {
	now(): number {
		return performance.now();
	}

	wall(): number {
		return Date.now();
	}

	async sleep(ms: number): Promise<void> {
		return new Promise(resolve => {
			setTimeout(resolve, ms).unref();
		});
	}
}
