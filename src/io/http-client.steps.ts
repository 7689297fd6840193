import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {isBeforeSending} from './http-client.js';

type FailureWorld = TestWorld & {notSent: boolean};

When('a request fails with code {string} in the system call {string}', function (this: FailureWorld, code: string, syscall: string) {
	const err = Object.assign(new Error(code), {code, ...(syscall !== '' && {syscall})});
	this.notSent = isBeforeSending(err);
});

Then('it counts as not sent', function (this: FailureWorld) {
	assert.equal(this.notSent, true);
});

Then('it counts as possibly sent', function (this: FailureWorld) {
	assert.equal(this.notSent, false);
});
