#!/usr/bin/env node
/**
Starts a program from its compiled code. The build copies this file under the program's name and puts the name of its script in the place of PROGRAM, which contains a hash of the text: another text is another program. V8 refuses code of another version or other options of its own, and compiles the text then.

The script lies beside this file, or in the folder above if this file was moved to one of several builds.
*/
import {existsSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Script} from 'node:vm';

const here = path.dirname(fileURLToPath(import.meta.url));
const stem = [here, path.dirname(here)].map(dir => path.join(dir, 'PROGRAM')).find(one => existsSync(`${one}.script.js`));
const readCode = () => {
	try {
		return readFileSync(`${stem}.code`);
	} catch {
		return undefined;
	}
};

const filename = `${stem}.script.js`;
const script = new Script(readFileSync(filename, 'latin1'), {filename, cachedData: readCode()});
script.runInThisContext()(createRequire(import.meta.url), {exports: {}}, {});
