/**
Reads the processor time of another process from outside, so that the measured program does nothing for it. The kernel's scheduler counts nanoseconds per thread; the clock ticks of `/proc/PID/stat` would be too coarse for a request.
*/
import {readdirSync, readFileSync} from 'node:fs';

const nanosPerMicro = 1000;

const threadNanos = (file: string): number => Number(readFileSync(file, 'utf8').split(' ')[0]);

/** Microseconds of processor time, user and system, that all threads of a process have used since they began. Linux only. */
export const cpuMicros = (pid: number): number => readdirSync(`/proc/${pid}/task`)
	.map(thread => threadNanos(`/proc/${pid}/task/${thread}/schedstat`))
	.reduce((sum, nanos) => sum + nanos, 0) / nanosPerMicro;
