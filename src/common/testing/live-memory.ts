/**
The memory that this process really uses, for tests that bound it. What nothing refers to any more is collected first: how much of it there is depends on when the collector has last run, not on what is kept.
*/
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');

const collectGarbage = runInNewContext('gc') as (options?: {readonly type: 'minor'}) => void;

const memoryInUse = (): number => {
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
};

/** @returns Bytes in buffers and on the heap. */
export const liveMemory = (): number => {
	collectGarbage();
	return memoryInUse();
};

/**
Garbage is collected only if there may be more in use than `limit`: a whole collection stops the process for as long as its heap is large, and what is timed meanwhile is late by that.

@returns At least the bytes in buffers and on the heap; exactly those if they exceed the limit.
*/
export const liveMemoryAbove = (limit: number): number => {
	if (memoryInUse() > limit) {
		collectGarbage({type: 'minor'});
	}

	const inUse = memoryInUse();
	return inUse > limit ? liveMemory() : inUse;
};
