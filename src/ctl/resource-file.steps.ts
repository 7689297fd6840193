/**
Steps for resource files that are wrong.
*/
import assert from 'node:assert/strict';
import {Then, When, type DataTable} from '@cucumber/cucumber';
import {type Either} from 'purify-ts/Either';
import {type AnyResource} from '../../typings/resources.js';
import {type TestWorld} from '../common/testing/test-world.js';
import {JsoncDocument} from '../io/jsonc-document.js';
import {type SettingsError} from '../io/settings-error.js';
import {resourcesOf} from './resource-file.js';

type FileWorld = TestWorld & {
	resources: Either<SettingsError, readonly AnyResource[]>;
};

When('an operator validates this file', function (this: FileWorld, text: string) {
	this.resources = JsoncDocument.parse(text, 'resources.jsonc').chain(resourcesOf);
});

Then('the file has these problems', function (this: FileWorld, table: DataTable) {
	const err = this.resources.swap().unsafeCoerce();
	const told = err.kind === 'invalid' ? err.problems.map(({line, key}) => [String(line), key]) : [];
	assert.deepEqual(told, table.raw());
});

Then('the resource\'s spec is', function (this: FileWorld, text: string) {
	const [resource] = this.resources.unsafeCoerce();
	assert.deepEqual(resource?.spec, JSON.parse(text));
});

Then('the resources are applied as {string}', function (this: FileWorld, kinds: string) {
	assert.equal(this.resources.unsafeCoerce().map(({kind}) => kind).join(', '), kinds);
});
