/**
Loads the settings of a program from one JSON file with comments. The file is validated against a strict schema before anything else starts, so that a misspelled key never silently falls back to a default.
*/
import {type Either} from 'purify-ts/Either';
import {type ZodType} from 'zod';
import {JsoncDocument} from './jsonc-document.js';
import {type SettingsError} from './settings-error.js';

/**
@param schema - Schema of the settings; its objects should be strict, so that unknown keys are rejected.
@param path - Path of the settings file.
@returns The settings with defaults applied, or all problems of the file together.
*/
export const loadSettings = <T>(schema: ZodType<T>, path: string): Either<SettingsError, T> =>
	JsoncDocument.read(path).chain(document => document.check(schema));
