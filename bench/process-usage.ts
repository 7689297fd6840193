/**
What the kernel counts of one process, from `/proc`.
*/
import {readFileSync} from 'node:fs';

const bytesPerKib = 1024;
const bytesPerMb = 1e6;
// `sysconf(_SC_CLK_TCK)`, which is 100 on every Linux that Node runs on.
const ticksPerSecond = 100;
const userTimeField = 11;

/** Resident memory in MB (1e6 bytes). */
export const residentMb = (pid: number): number => {
	const kib = /^VmRSS:\s+(?<kib>\d+) kB$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kib;
	return Number(kib) * bytesPerKib / bytesPerMb;
};

/** Processor time so far, in seconds, in user mode and in the kernel. */
export const cpuSeconds = (pid: number): number => {
	// The program's name stands in brackets and may hold spaces; the fields that follow are split by one.
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ').at(-1)!.split(' ');
	return (Number(fields[userTimeField]) + Number(fields[userTimeField + 1])) / ticksPerSecond;
};
