/**
Writes the compiled code of a script beside it, with all of its functions, under the options of V8 that this process was started with: `node OPTIONS scripts/compile.cjs NAME.script.js` writes `NAME.code`.
*/
'use strict';

const {readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {setFlagsFromString} = require('node:v8');
const {Script} = require('node:vm');

const filename = path.resolve(process.argv[2]);
setFlagsFromString('--no-lazy');
const script = new Script(readFileSync(filename, 'latin1'), {filename});
// The options at this moment are part of the code's key.
setFlagsFromString('--lazy');
writeFileSync(filename.replace(/\.script\.js$/v, '.code'), script.createCachedData());
