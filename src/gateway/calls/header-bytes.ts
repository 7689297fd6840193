/**
Head lines of an answer as bytes. HTTP allows any byte from 0x80 on in field values and reason phrases and gives it no meaning, so a gateway must pass them on as they are: here and in Node.js each byte is one character from U+0000 to U+00FF.
*/
import {Buffer} from 'node:buffer';

/** What takes the place of bytes that are not UTF-8 where a library has decoded them. */
const replacementCharacter = '\u{FFFD}';

const invalidReasonCharacters = /[^\t\u0020-\u007E\u0080-\u00FF]/v;

/** @returns Alternating names and values, with one character for each byte. */
export const headerStrings = (rawHeaders: ReadonlyArray<Buffer | string>): string[] => rawHeaders.map(bytes => typeof bytes === 'string' ? bytes : bytes.toString('latin1'));

/** @returns A reason phrase that the HTTP library has decoded as UTF-8, with one character for each byte; `undefined` if it cannot be sent. */
export const reasonBytes = (decoded: string): string | undefined => {
	const reason = Buffer.from(decoded, 'utf8').toString('latin1');
	return decoded === '' || decoded.includes(replacementCharacter) || invalidReasonCharacters.test(reason) ? undefined : reason;
};
