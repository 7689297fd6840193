/**
Loads a program's settings: one file of JSON with comments, checked against a strict schema before anything else starts, so that a typing error never runs as a default.
*/
import {type Either} from 'purify-ts/Either';
import {type ZodType} from 'zod';
import {JsoncDocument} from './jsonc-document.js';
import {type SettingsError} from './settings-error.js';

/**
@param schema - What the settings must be; objects in it should be strict, so that unknown keys are refused.
@param path - The file.
@returns The settings with their defaults, or everything that is wrong with the file at once.
*/
export const loadSettings = <T>(schema: ZodType<T>, path: string): Either<SettingsError, T> =>
	JsoncDocument.read(path).chain(document => document.check(schema));
