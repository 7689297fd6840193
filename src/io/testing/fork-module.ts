/**
Runs a TypeScript module in a process of its own, with which messages are exchanged.
*/
import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** @returns The process, which has just been started. */
export const forkModule = (module: URL): ChildProcess => fork(fileURLToPath(module), {execArgv: ['--import', 'tsx']});
