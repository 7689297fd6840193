/**
Rendezvous hashing: every node ranks the same members for a key in the same order without coordination, and a member that is added or removed changes only the ranks below it.
*/
import {h64ToString} from './xxhash.js';

/**
Ranks members for a key, the first being responsible.

@param key - Identifies what the members are ranked for.
@param members - Names, in any order.
*/
export const rankMembers = (key: string, members: readonly string[]): string[] => members
	.map(member => ({member, weight: h64ToString(`${key}|${member}`)}))
	.toSorted((a, b) => (a.weight < b.weight ? 1 : -1))
	.map(({member}) => member);
