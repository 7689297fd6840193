/**
Splits a prompt into the blocks in which engines cache prefixes. A block's hash also covers all text before it, so two prompts share a block's hash only when they are equal from their start to the end of that block.
*/
import {branded, type BlockHash} from './ids.js';
import {h64ToString} from './xxhash.js';

/** Characters of prompt text in a block. */
export const blockCharacters = 64;

/** Tokens of a prompt in a block, at four characters a token. */
export const tokensPerBlock = 16;

/**
Hashes the blocks of a prompt, in order.

@param text - The canonical prompt text.
@returns One hash for each full block: 16 hexadecimal digits. The rest of the text after the last full block has none.
*/
export const blockHashes = (text: string): BlockHash[] => {
	const hashes: BlockHash[] = [];
	const count = Math.floor(text.length / blockCharacters);
	let previous = '';
	for (let i = 0; i < count; i++) {
		const start = i * blockCharacters;
		previous = h64ToString(previous + text.slice(start, start + blockCharacters));
		hashes.push(branded<BlockHash>(previous));
	}

	return hashes;
};
