#!/usr/bin/env node
/**
Starts the program that lies beside this file under the same name, from its compiled code. V8 refuses code of another version or other options of its own, and compiles the text then.
*/
'use strict';

const {readFileSync} = require('node:fs');
const {Script} = require('node:vm');

const stem = __filename.slice(0, -'.js'.length);
const filename = `${stem}.script.js`;
const readCode = () => {
	try {
		return readFileSync(`${stem}.code`);
	} catch {
		return undefined;
	}
};

const script = new Script(readFileSync(filename, 'latin1'), {filename, cachedData: readCode()});
script.runInThisContext()(require, module, exports);
