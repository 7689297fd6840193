/**
Steps for the demo as its users start it.
*/
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {runToEnd, type Ended} from '../io/testing/run-process.js';

type DemoWorld = TestWorld & {ended: Ended};

When('the demo runs', {timeout: 60_000}, async function (this: DemoWorld) {
	this.ended = await runToEnd(['dist/citronyard-demo.js']);
});

Then('its first line says that it ends by itself', function (this: DemoWorld) {
	const [first] = this.ended.stdout.split('\n');
	assert.ok(first!.includes('ends by itself'), first);
});

Then('it ends with exit code 0', function (this: DemoWorld) {
	assert.equal(this.ended.code, 0, this.ended.stderr);
});
