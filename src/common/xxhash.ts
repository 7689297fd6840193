/**
The xxHash functions, initialised once for the process: the module waits for its WebAssembly code, so that every caller can hash without waiting.
*/
import xxhash from 'xxhash-wasm';

const {h32, h64, h64ToString} = await xxhash();

export {h32, h64, h64ToString};
