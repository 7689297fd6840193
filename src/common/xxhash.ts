/**
The xxHash functions, initialised once for the process: the module awaits its WebAssembly code, so that callers can hash synchronously.
*/
import xxhash from 'xxhash-wasm';

const {h32, h64, h64ToString} = await xxhash();

export {h32, h64, h64ToString};
