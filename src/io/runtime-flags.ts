/**
Flags of the JavaScript engine that keep an idle process small.
*/
import {setFlagsFromString} from 'node:v8';

const flags = ['--no-wasm-tier-up', '--no-wasm-dynamic-tiering'] as const;

/**
Sets the flags. Call it before the first HTTP request is sent.

Undici's HTTP parser is WebAssembly. The optimising compiler takes 40 MB for a moment to compile it once more, as soon as a few requests have passed, and the C library keeps most of that for good. The baseline compiler's code, which is there from the start, is used throughout instead.
*/
export const setRuntimeFlags = (): void => {
	flags.forEach(flag => {
		setFlagsFromString(flag);
	});
};
