/**
Writes each scenario's result as JSON, so that `.ci/run` can tell a known fault from a new one.
*/
import {Formatter} from '@cucumber/cucumber';
import {scenarioResults} from './scenario-results.js';

/** Writes an array of results once the run has finished. */
export default class ResultsFormatter extends Formatter {
	static documentation = 'Writes the results of all scenarios as JSON.';

	/** @param {import('@cucumber/cucumber').IFormatterOptions} options - Given by cucumber. */
	constructor(options) {
		super(options);
		options.eventBroadcaster.on('envelope', envelope => {
			if (envelope.testRunFinished) {
				this.log(`${JSON.stringify(scenarioResults(this.eventDataCollector), undefined, '\t')}\n`);
			}
		});
	}
}
