/**
The memory that this process really uses, for tests that bound it. What nothing refers to any more is collected first: how much of it there is depends on when the collector has last run, not on what is kept.
*/
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');

const collectGarbage = runInNewContext('gc') as () => void;

/** @returns Bytes in buffers and on the heap. */
export const liveMemory = (): number => {
	collectGarbage();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
};
