/**
The one place that says when a scenario has passed: only when its worst step passed. Pending, undefined, ambiguous and skipped scenarios have proved nothing, so they count as failed.
*/

/**
@typedef {{name: string, uri: string, status: string, passed: boolean, isCrowd: boolean}} ScenarioResult
*/

/**
@param {import('@cucumber/cucumber').IFormatterOptions['eventDataCollector']} collector - What cucumber gathered in the run.
@returns {ScenarioResult[]} One result a scenario, in the order of the run.
*/
export const scenarioResults = collector => collector.getTestCaseAttempts()
	.filter(attempt => !attempt.willBeRetried)
	.map(({pickle, worstTestStepResult: {status}}) => ({
		name: pickle.name,
		uri: pickle.uri,
		status,
		passed: status === 'PASSED',
		isCrowd: pickle.tags.some(({name}) => name === '@crowd'),
	}));

/**
@param {ScenarioResult[]} results - The results of one run.
@returns {string} `N passed, N failed`.
*/
export const countsLine = results => {
	const passed = results.filter(result => result.passed).length;
	return `${passed} passed, ${results.length - passed} failed`;
};
