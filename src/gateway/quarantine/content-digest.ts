/**
Names what a request asks for, whoever sends it, through whichever process and under whatever id. A caller that tries again sends the same content under a new id, so an id tells nothing of what earlier runs of the same content have done.
*/
import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';
import type {Branded} from '../../common/ids.js';

/** The content of a request: its host, method, path with query, and body. */
export type ContentDigest = Branded<string, 'ContentDigest'>;

/** What makes up the content. Headers do not: ids and the time left are new with each attempt. */
export type RequestContent = {
	readonly host: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly body?: Buffer;
};

/** Half of the hash, in hexadecimal digits: enough that nobody finds another content with the same digest, which would have that one refused in its place. */
const digestLength = 32;

/** @returns The same for the same content at every process. */
export const contentDigest = ({host, method, target, body}: RequestContent): ContentDigest => {
	const hash = createHash('sha256').update(JSON.stringify([host, method, target]));
	if (body) {
		hash.update(body);
	}

	return hash.digest('hex').slice(0, digestLength) as ContentDigest;
};
