/**
Tests of single fields, and of objects by their fields, for values that come from outside this process. They tell only whether a value can be used; messages for operators are citronctl's.
*/

/** True when the value can be used. */
export type FieldValidator = (value: unknown) => boolean;

/** The tests of an object's fields, by name. Fields without a test may hold anything. */
export type FieldValidators = Readonly<Record<string, FieldValidator>>;

/** An object that is no array. */
export const isObject = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);

/** A string that is not empty. */
export const isNonEmptyString: FieldValidator = value => typeof value === 'string' && value !== '';

/** A string, empty or not. */
export const isString: FieldValidator = value => typeof value === 'string';

/** An RFC 3339 time. */
export const isTimestamp: FieldValidator = value => typeof value === 'string' && !Number.isNaN(Date.parse(value));

/** True or false. */
export const isBoolean: FieldValidator = value => typeof value === 'boolean';

/** A whole number, 0 or more. */
export const isNonNegativeInteger: FieldValidator = value => Number.isSafeInteger(value) && (value as number) >= 0;

/** Any number that is finite, 0 or more. */
export const isNonNegativeNumber: FieldValidator = value => Number.isFinite(value) && (value as number) >= 0;

/** A finite number above 0. */
export const isPositiveNumber: FieldValidator = value => Number.isFinite(value) && (value as number) > 0;

/** A list whose every element passes. */
export const listOf = (test: FieldValidator): FieldValidator => value => Array.isArray(value) && value.every(element => test(element));

/** Undefined, or a value that passes. */
export const optional = (test: FieldValidator): FieldValidator => value => value === undefined || test(value);

/** One of these values. */
export const oneOf = (...values: readonly unknown[]): FieldValidator => value => values.includes(value);

/** The first field that does not pass its test; undefined when all do. */
export const invalidField = (value: Readonly<Record<string, unknown>>, tests: FieldValidators): string | undefined => Object.keys(tests).find(field => !tests[field]!(value[field]));

/** An object whose fields pass. */
export const objectOf = (tests: FieldValidators): FieldValidator => value => isObject(value) && invalidField(value, tests) === undefined;
