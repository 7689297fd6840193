/**
V8 flags that reduce the memory use of an idle process.
*/
import {setFlagsFromString} from 'node:v8';

const flags = ['--no-wasm-tier-up', '--no-wasm-dynamic-tiering'] as const;

/**
Sets the V8 flags. Must be called before the first HTTP request is sent.

Undici's HTTP parser is WebAssembly. After a few requests V8's optimising compiler would recompile it, which temporarily takes 40 MB, and the C library never returns most of that to the operating system. With these flags the code of the baseline compiler stays in use.
*/
export const setRuntimeFlags = (): void => {
	flags.forEach(flag => {
		setFlagsFromString(flag);
	});
};
