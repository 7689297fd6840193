/**
The journal of a process without a disk: the jobs that it holds are on the disks of keepers as well.
*/
import {Right} from 'purify-ts/Either';
import type {JobJournal} from './job-journal.js';

export const noJournal: Pick<JobJournal, 'load' | 'hold' | 'remove'> = {
	load: async () => ({jobs: [], failures: []}),
	hold: async () => Right(undefined),
	remove: async () => undefined,
};
