/**
Cucumber's progress output with the counts of scenarios alone on the last line, for people and for scripts that read a run's log.
*/
import {ProgressFormatter} from '@cucumber/cucumber';
import {countsLine, scenarioResults} from './scenario-results.js';

/** Prints one character a step, the failures, and `N passed, N failed`. */
export default class CountsFormatter extends ProgressFormatter {
	static documentation = 'Prints progress, then the counts of scenarios on the last line.';

	/** @param {unknown} duration - How long the run took. */
	logSummary(duration) {
		super.logSummary(duration);
		this.log(`\n${countsLine(scenarioResults(this.eventDataCollector))}\n`);
	}
}
