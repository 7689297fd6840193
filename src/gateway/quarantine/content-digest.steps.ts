/**
Steps for the digest of what a request asks for.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Given, Then} from '@cucumber/cucumber';
import {contentDigest, type ContentDigest} from './content-digest.js';

type DigestWorld = {digest: ContentDigest};

/** @param request - Method, host and target, parted by spaces. */
const digestOf = (request: string, body: string): ContentDigest => {
	const [method, host, target] = request.split(' ') as [string, string, string];
	return contentDigest({
		host, method, target, body: Buffer.from(body),
	});
};

Given('the content {string} with the body {string}', function (this: DigestWorld, request: string, body: string) {
	this.digest = digestOf(request, body);
});

Then(/^its digest (equals|differs from) that of "([^"]*)" with the body "([^"]*)"$/v, function (this: DigestWorld, outcome: string, request: string, body: string) {
	assert.equal(this.digest === digestOf(request, body), outcome === 'equals');
});
