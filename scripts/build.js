/**
Bundles each program into one file, so that an idle process loads no more code than it runs: the programs of the product under `dist/`, or with `--platform` those that run on the users' platform under `target/`.
*/
import {chmod, rm} from 'node:fs/promises';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

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
const outdir = isForPlatform ? 'target' : 'dist';

// A program without a main module yet is left out; the features of each program ask for its bundle by name.
const present = Object.fromEntries(Object.entries(programs).filter(([, main]) => existsSync(main)));

await rm(outdir, {recursive: true, force: true});
await build({
	entryPoints: present,
	outdir,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	mainFields: ['module', 'main'],
	external: ['unix-dgram'],
	// HTTP/2 is spoken nowhere between the processes, and Node's module for it takes 2.5 MB in each that loads it. Undici expects that it may be missing.
	alias: {'node:http2': './scripts/no-http2.cjs'},
	// The text of a program stays in memory; white space and comments are two fifths of it.
	minifyWhitespace: true,
	legalComments: 'none',
	define: {CITRONYARD_VERSION: JSON.stringify(version)},
	banner: {js: '#!/usr/bin/env node\nimport {createRequire as bundleRequire} from \'node:module\';\nconst require = bundleRequire(import.meta.url);'},
	logLevel: 'warning',
});
await Promise.all(Object.keys(present).map(async name => chmod(`${outdir}/${name}.js`, 0o755)));
