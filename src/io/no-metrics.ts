/**
Metrics that go nowhere, for a process whose settings name no collector.
*/
import {type Metrics} from '../common/services.js';

/** {@link Metrics} that keeps and sends nothing. */
export class NoMetrics implements Metrics {
	count(): void {
		// Nothing is kept.
	}

	gauge(): void {
		// Nothing is kept.
	}

	timing(): void {
		// Nothing is kept.
	}
}
