/**
Steps for the digest of a request's content.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Given, Then} from '@cucumber/cucumber';
import {contentDigest, type ContentDigest} from './content-digest.js';

type DigestWorld = {digest: ContentDigest};

/** @param request - Method, host and target, separated by spaces. */
const digestOf = (request: string, body: string): ContentDigest => {
	const [method, host, target] = request.split(' ') as [string, string, string];
	return contentDigest({
		host, method, target, body: Buffer.from(body),
	});
};

Given('the content {string} with the body {string}', function (this: DigestWorld, request: string, body: string) {
	this.digest = digestOf(request, body);
});

Then('its digest equals that of {string} with the body {string}', function (this: DigestWorld, request: string, body: string) {
	assert.equal(this.digest, digestOf(request, body));
});

Then('its digest differs from that of {string} with the body {string}', function (this: DigestWorld, request: string, body: string) {
	assert.notEqual(this.digest, digestOf(request, body));
});
