/**
What the kernel counts of one process's memory, from `/proc`.
*/
import {readFileSync} from 'node:fs';

const bytesPerKib = 1024;
const bytesPerMb = 1e6;

/** Resident memory in MB (1e6 bytes). */
export const residentMb = (pid: number): number => {
	const kib = /^VmRSS:\s+(?<kib>\d+) kB$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kib;
	return Number(kib) * bytesPerKib / bytesPerMb;
};
