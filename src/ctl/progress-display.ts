/**
A batch job's progress: a bar where a person watches, a line on each change where a program reads.
*/
import {SingleBar} from 'cli-progress';
import {type Disposable} from '../common/services.js';
import {type Output} from './ctl-context.js';
import {type Batch} from './entry-client.js';

const barFormat = '{bar} {value}/{total} items, {failed} failed, {state}';

/** Shows one job. Dispose of it before printing anything else. */
export class ProgressDisplay implements Disposable {
	readonly #output: Output;
	#bar: SingleBar | undefined;
	#shown = '';

	/** @param output - Where to show it. */
	constructor(output: Output) {
		this.#output = output;
	}

	/** @param batch - The job as it is now. */
	show(batch: Batch): void {
		const {total = 0, completed = 0, failed = 0} = batch.request_counts ?? {};
		if (!this.#output.isTerminal) {
			this.#tell(`${batch.status}: ${completed + failed}/${total} items, ${failed} failed`);
			return;
		}

		this.#bar ??= this.#start(total);
		this.#bar.setTotal(total);
		this.#bar.update(completed + failed, {failed, state: batch.status});
	}

	dispose(): void {
		this.#bar?.stop();
	}

	#start(total: number): SingleBar {
		const bar = new SingleBar({format: barFormat, hideCursor: true});
		bar.start(total, 0, {failed: 0, state: ''});
		return bar;
	}

	#tell(line: string): void {
		if (line !== this.#shown) {
			this.#shown = line;
			this.#output.tell(line);
		}
	}
}
