/**
How the features run: TypeScript is compiled on the fly, no scenario is tried twice, and the last line gives the counts. A file of scenario results goes to `.tmp/`, from which `.ci/run` judges the run.
*/
import {mkdirSync} from 'node:fs';
import {register} from 'tsx/esm/api';

register();
mkdirSync('.tmp', {recursive: true});

/** @type {Partial<import('@cucumber/cucumber/api').IConfiguration>} */
const config = {
	paths: ['src/**/*.feature', 'platform/**/*.feature', 'bench/**/*.feature', 'scripts/**/*.feature'],
	import: ['src/**/*.hooks.ts', 'src/**/*.steps.ts', 'platform/**/*.steps.ts', 'bench/**/*.steps.ts', 'scripts/**/*.steps.ts'],
	format: ['./scripts/counts-formatter.js', ['./scripts/results-formatter.js', '.tmp/scenarios.json']],
	retry: 0,
	// What a failed scenario left running must not keep the run from ending.
	forceExit: true,
	strict: true,
};

export default config;
