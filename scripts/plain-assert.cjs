/**
Takes the place of Node's module for assertions in the programs. To word the message of a failed assertion, that module reads and parses the source line that it stands on; a bundled program is a single line, and nothing else runs for seconds meanwhile.
*/
'use strict';

class AssertionError extends Error {
	constructor(message = 'an assertion of a library failed') {
		super(message);
		this.name = 'AssertionError';
		this.code = 'ERR_ASSERTION';
	}
}

const fail = message => {
	throw message instanceof Error ? message : new AssertionError(message);
};

const assert = (value, message) => {
	if (!value) {
		fail(message);
	}
};

const strictEqual = (actual, expected, message) => {
	assert(Object.is(actual, expected), message);
};

const notStrictEqual = (actual, expected, message) => {
	assert(!Object.is(actual, expected), message);
};

module.exports = Object.assign(assert, {
	AssertionError, ok: assert, fail, equal: strictEqual, strictEqual, notEqual: notStrictEqual, notStrictEqual, strict: assert,
});
