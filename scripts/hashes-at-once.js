/**
Plugin of the build: lets xxhash-wasm instantiate its code at once. The library awaits it, as browsers require, and a script that is compiled ahead cannot await at its top.
*/
import {readFileSync} from 'node:fs';

const replaceAll = (text, pairs) => pairs.reduce((replaced, [from, to]) => {
	if (!replaced.includes(from)) {
		throw new Error(`hashes-at-once: "${from}" not found; the library has changed`);
	}

	return replaced.replace(from, to);
}, text);

/** How each of the two files is changed. */
const changes = [
	{file: /src\/common\/xxhash\.ts$/v, pairs: [['await xxhash()', 'xxhash() as any']]},
	{file: /xxhash-wasm\/esm\/xxhash-wasm\.js$/v, pairs: [['async function ', 'function '], ['(await WebAssembly.instantiate(t)).instance', 'new WebAssembly.Instance(new WebAssembly.Module(t))']]},
];

export const hashesAtOnce = {
	name: 'hashes-at-once',
	setup({onLoad}) {
		changes.forEach(({file, pairs}) => {
			// eslint-disable-next-line require-unicode-regexp -- esbuild reads it as a Go expression and knows no flags.
			onLoad({filter: new RegExp(file.source)}, ({path}) => ({contents: replaceAll(readFileSync(path, 'utf8'), pairs), loader: path.endsWith('.ts') ? 'ts' : 'js'}));
		});
	},
};
