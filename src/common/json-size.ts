/**
The size of values as they are sent and stored: in bytes of JSON in UTF-8, with field names and escapes. The length of a string is no measure of it: a character outside ASCII takes up to three bytes for each unit of that length, and an escaped one takes six.
*/
import {Buffer} from 'node:buffer';

/** The most bytes of JSON that one unit of a string's length takes: an escape such as `\u0000`. */
export const maxJsonBytesPerUnit = 6;

/** The size of a value that can be written as JSON, in bytes. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
