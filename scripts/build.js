/**
Bundles each program into one file, so that an idle process loads no more code than it runs: the programs of the product under `dist/`, or with `--platform` those that run on the users' platform under `target/`.

On the platform a process is charged its work in full after a restart, and all processes may restart at once. Their programs are therefore bundled as scripts with V8's compiled code beside them, so that a start neither parses nor compiles. V8 takes that code only under the options that it was compiled with, which `deploy/system.toml` names.
*/
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {
	chmod, rename, rm, writeFile,
} from 'node:fs/promises';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {hashesAtOnce} from './hashes-at-once.js';

const {version} = JSON.parse(readFileSync('package.json', 'utf8'));

const platformPrograms = {
	'citronyard-front': 'platform/main-front.ts',
	'citronyard-keeper': 'platform/main-keeper.ts',
	citronctl: 'platform/main-ctl.ts',
};

const productPrograms = {
	'citronyard-entry': 'src/entry/main.ts',
	'citronyard-agent': 'src/agent/main.ts',
	citronctl: 'src/ctl/main.ts',
	'citronyard-load': 'src/load/main.ts',
	'citronyard-standin': 'src/standins/main.ts',
	'citronyard-demo': 'src/demo/main.ts',
};

const isForPlatform = process.argv.includes('--platform');
const programs = isForPlatform ? platformPrograms : productPrograms;
/** `--out DIR` builds elsewhere, for tests. */
const outArgument = process.argv.indexOf('--out');
const outdir = outArgument === -1 ? (isForPlatform ? 'target' : 'dist') : process.argv[outArgument + 1];

// A program without a main module yet is left out; the features of each program ask for its bundle by name.
const present = Object.fromEntries(Object.entries(programs).filter(([, main]) => existsSync(main)));

/** Length of the hash in the name of a script, in hexadecimal digits. */
const hashLength = 16;

/** The options of Node.js with which the platform runs a program; none for one that it does not run. */
const runOptions = name => {
	const line = readFileSync('deploy/system.toml', 'utf8').split('\n').find(text => text.startsWith('run = ') && text.includes(`target/${name}.js`));
	return line?.match(/--[^ ]+(?= .*target)/gv) ?? [];
};

/** The parts of a program that starts from compiled code: the starter under its name, its script and the code of it. */
const addCompiledCode = async name => {
	const text = readFileSync(`${outdir}/${name}.script.js`);
	const program = `${name}-${createHash('sha256').update(text).digest('hex').slice(0, hashLength)}`;
	await rename(`${outdir}/${name}.script.js`, `${outdir}/${program}.script.js`);
	await writeFile(`${outdir}/${name}.js`, readFileSync('scripts/start-compiled.js', 'utf8').replace('\'PROGRAM\'', `'${program}'`));
	// Options that the shell of the build gives to Node.js would be part of the code's key.
	execFileSync(process.execPath, [...runOptions(name), 'scripts/compile.cjs', `${outdir}/${program}.script.js`], {env: {}, stdio: 'inherit'});
};

const common = {
	entryPoints: present,
	outdir,
	bundle: true,
	platform: 'node',
	target: 'node20',
	mainFields: ['module', 'main'],
	external: ['unix-dgram'],
	// HTTP/2 is spoken nowhere between the processes, and Node's module for it takes 2.5 MB in each that loads it. Undici expects that it may be missing. The log is written by the process itself, so pino's threads are left out too.
	alias: {
		'node:http2': './scripts/no-http2.cjs', 'thread-stream': './scripts/no-threads.cjs', 'node:assert': './scripts/plain-assert.cjs', assert: './scripts/plain-assert.cjs',
	},
	// The text of a program stays in memory; white space and comments are two fifths of it.
	minifyWhitespace: true,
	legalComments: 'none',
	define: {CITRONYARD_VERSION: JSON.stringify(version)},
	logLevel: 'warning',
};

const modules = {
	format: 'esm',
	banner: {js: '#!/usr/bin/env node\nimport {createRequire as bundleRequire} from \'node:module\';\nconst require = bundleRequire(import.meta.url);'},
};

const scripts = {
	format: 'cjs',
	// The text is one function, which the starter calls; ASCII is read without decoding.
	banner: {js: '(function(require,module,exports){'},
	footer: {js: '})'},
	charset: 'ascii',
	outExtension: {'.js': '.script.js'},
	plugins: [hashesAtOnce],
};

await rm(outdir, {recursive: true, force: true});
await build({...common, ...(isForPlatform ? scripts : modules)});
if (isForPlatform) {
	await Promise.all(Object.keys(present).map(async name => addCompiledCode(name)));
}

await Promise.all(Object.keys(present).map(async name => chmod(`${outdir}/${name}.js`, 0o755)));
