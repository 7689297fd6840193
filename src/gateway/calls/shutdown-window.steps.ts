/**
Steps for what may begin while a process shuts down, on a clock that the steps set.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {TestWorld} from '../../common/testing/test-world.js';
import {ShutdownWindow} from './shutdown-window.js';

type WindowWorld = TestWorld & {
	window: ShutdownWindow;
	nowMs: number;
};

Given('a shutdown of {int} ms that was requested {int} ms ago', function (this: WindowWorld, durationMs: number, agoMs: number) {
	this.nowMs = 0;
	this.window = new ShutdownWindow({now: () => this.nowMs});
	assert.equal(this.window.leftMs, Infinity);
	this.window.begin(-agoMs, durationMs);
});

When('{int} ms have passed', function (this: WindowWorld, ms: number) {
	this.nowMs += ms;
});

Then('a call that arrived at {int} ms with a limit of {int} ms, which is {word} and usually takes {word} ms, may begin: {word}', function (this: WindowWorld, at: number, limit: number, trait: string, usual: string, may: string) {
	const mayBegin = this.window.mayBegin({
		callArrivedAt: at, callEndsAt: at + limit, isRecoverable: trait === 'repeatable', usualMs: usual === 'unknown' ? undefined : Number(usual),
	});
	assert.equal(mayBegin, may === 'yes');
});

Then('a request about a job may begin: {word}', function (this: WindowWorld, may: string) {
	assert.equal(this.window.mayServeJobRequest, may === 'yes');
});
