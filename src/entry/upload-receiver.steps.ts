/**
Steps for uploads whose form is broken or unusual.
*/
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {Then, When} from '@cucumber/cucumber';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import type {TestWorld} from '../common/testing/test-world.js';
import {SystemClock} from '../io/system-clock.js';
import {receiveUpload, type Upload} from './upload-receiver.js';

type UploadWorld = TestWorld & {upload: Upload};

const chunkBytes = 200_000;
const ok = 200;
const levels = 50_000;
const nested = `${'['.repeat(levels)}${']'.repeat(levels)}`;
const end = '--b--\r\n';

const lineOf = (id: string, prompt: string, extra = 'null') => `{"custom_id":"${id}","url":"/v1/completions","body":{"model":"m","prompt":"${prompt}","extra":${extra}}}\n`;
const file = (text: string) => `--b\r\ncontent-disposition: form-data; name="file"; filename="f.jsonl"\r\n\r\n${text}\r\n`;
const many = Array.from({length: 2000}, (_, index) => lineOf(`note-${index}`, 'x')).join('');

const forms: Readonly<Record<string, string>> = {
	'a file': file(lineOf('a', 'x')) + end,
	'two files': file(lineOf('a', 'x')) + file(many) + end,
	'no closing boundary': file(lineOf('a', 'x')),
	'a line of 50000 levels': file(lineOf('a', 'x', nested)) + end,
	'a line of more bytes than a chunk': file('x'.repeat(2 * chunkBytes)) + end,
	'a line separator in a JSON string': file(lineOf('a', 'eixo 1\u2028pressão')) + end,
};

When('a form with {string} is uploaded', async function (this: UploadWorld, form: string) {
	const req = Object.assign(Readable.from([forms[form]]), {headers: {'content-type': 'multipart/form-data; boundary=b'}});
	this.upload = await receiveUpload(req as unknown as IncomingMessage, {
		api: new FakeObjectApi(),
		clock: new SystemClock(),
		limits: {
			maxItems: 1000, chunkItems: 100, minChunkItems: 100, chunkBytes, maxFileBytes: 10_000_000,
		},
	});
});

Then('the answer to the upload has status {int}', function (this: UploadWorld, status: number) {
	const found = this.upload.packed.caseOf({
		Left: err => err.status,
		Right: ({items}) => items === 1 ? ok : undefined,
	});
	assert.equal(found, status);
});
