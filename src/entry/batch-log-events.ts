/**
Numbered events of batch jobs, 400 to 499.
*/
import type {EventDefinition} from '../common/types.js';

export const batchEvents = {
	jobAccepted: {number: 400, level: 'info', text: 'batch job accepted'},
	jobResent: {number: 401, level: 'info', text: 'batch job was there already, resent by its client'},
	jobCancelled: {number: 402, level: 'info', text: 'batch job cancelled'},
	jobRefused: {number: 403, level: 'error', text: 'object of a batch job is malformed and passed over, what was known of the job stays'},
	jobAdopted: {number: 410, level: 'info', text: 'coordinator takes up a batch job'},
	jobEnded: {number: 411, level: 'info', text: 'batch job ended'},
	jobLate: {number: 412, level: 'warn', text: 'batch job will be late, gets more of the idle room'},
	jobRemoved: {number: 413, level: 'info', text: 'batch job removed after its retention time'},
	chunkGranted: {number: 420, level: 'info', text: 'chunk granted to an agent'},
	chunkNotTaken: {number: 421, level: 'info', text: 'chunk not taken by an agent'},
	chunkLost: {number: 422, level: 'warn', text: 'agent no longer has a chunk, granted anew'},
	shardTaken: {number: 430, level: 'info', text: 'lease of a shard of jobs taken'},
	shardSuspended: {number: 432, level: 'warn', text: 'lease can not be renewed, grants are renewed and nothing new is granted'},
	shardLost: {number: 431, level: 'info', text: 'lease of a shard of jobs ended'},
} as const satisfies Record<string, EventDefinition>;
