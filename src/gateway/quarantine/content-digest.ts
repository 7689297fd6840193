/**
Identifies the content of a request independently of its sender, the process that receives it and its id. A caller that retries sends the same content under a new id, so the id does not lead to the results of earlier runs of that content.
*/
import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';
import type {Branded} from '../../common/ids.js';

/** The content of a request: its host, method, path with query, and body. */
export type ContentDigest = Branded<string, 'ContentDigest'>;

/** The parts that make up the content. Headers are not included: ids and the remaining time change with each attempt. */
export type RequestContent = {
	readonly host: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly body?: Buffer;
};

/** Length of a digest in hexadecimal digits, half of the hash: long enough that nobody can construct other content with the same digest, which would be rejected in its place. */
const digestLength = 32;

/** @returns The digest, which every process computes alike for the same content. */
export const contentDigest = ({host, method, target, body}: RequestContent): ContentDigest => {
	const hash = createHash('sha256').update(JSON.stringify([host, method, target]));
	if (body) {
		hash.update(body);
	}

	return hash.digest('hex').slice(0, digestLength) as ContentDigest;
};
