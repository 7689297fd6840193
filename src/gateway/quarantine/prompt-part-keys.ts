/**
Identifies the parts of a prompt by which requests that crash replicas can be recognised. The last part belongs to a single request or session, so it says nothing about other requests and is left out.
*/
import {createHash} from 'node:crypto';
import type {Branded} from '../../common/ids.js';
import type {PromptPart} from '../types.js';

/** A part of a prompt: the same key at every process, in whatever spelling a caller gives the id. It also serves as the name of a stored object. */
export type PartKey = Branded<string, 'PartKey'>;

/** Distinguishes the keys of parts from digests of contents. */
const keyPrefix = 'part-';

/** Maximum number of parts of one request that are considered; callers may list as many as fit into the header. */
const maxParts = 64;

const hexIdPattern = /^0*(?<digits>[\da-f]{1,64})$/v;

/** The digest replaces ids that are too long, or unusable as names of objects. */
const digestLength = 32;

/** Ids are hexadecimal numbers: case and leading zeros make no difference. */
const keyOf = ({id}: PromptPart): PartKey => {
	const lowerCaseId = id.toLowerCase();
	const digits = hexIdPattern.exec(lowerCaseId)?.groups?.digits;
	return `${keyPrefix}${digits ?? `x${createHash('sha256').update(lowerCaseId).digest('hex').slice(0, digestLength)}`}` as PartKey;
};

/** Whether a name is the key of a part, and not the digest of a content. */
export const isPartKey = (name: string): name is PartKey => name.startsWith(keyPrefix);

/** @returns The distinct keys of all parts but the last, in the order of the prompt. */
export const partKeysOf = (parts: readonly PromptPart[]): readonly PartKey[] => [...new Set(parts.slice(0, -1).slice(0, maxParts).map(part => keyOf(part)))];
