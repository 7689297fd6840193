/**
The time of this machine.
*/
import {performance} from 'node:perf_hooks';
import {type Clock} from '../common/services.js';

/** A {@link Clock} on the process's monotonic clock and the machine's wall clock. */
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
