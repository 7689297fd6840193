/**
Gives each scenario its own world and releases its resources at the end.
*/
import {After, setDefaultTimeout, setWorldConstructor} from '@cucumber/cucumber';
import {TestWorld} from './test-world.js';

/** The longest that one step may take, in milliseconds. */
const stepTimeoutMs = 20_000;

setDefaultTimeout(stepTimeoutMs);
setWorldConstructor(TestWorld);

After(async function (this: TestWorld) {
	await this.release();
});
