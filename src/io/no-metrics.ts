/**
Metrics implementation for a process whose settings configure no collector.
*/
import {type Metrics} from '../common/services.js';

/** {@link Metrics} that discards all values. */
export class NoMetrics implements Metrics {
	count(): void {
		// Discarded.
	}

	gauge(): void {
		// Discarded.
	}

	timing(): void {
		// Discarded.
	}
}
