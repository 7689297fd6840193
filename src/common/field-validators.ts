/**
Validators of single fields, and of objects by their fields, for values from outside this process. They decide only whether a value can be used; messages for operators are produced by citronctl.
*/

/** True when the value can be used. */
export type FieldValidator = (value: unknown) => boolean;

/** Validators of an object's fields, by name. Fields without a validator may hold anything. */
export type FieldValidators = Readonly<Record<string, FieldValidator>>;

/** An object other than an array. */
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

/** An array whose elements are all valid. */
export const listOf = (validator: FieldValidator): FieldValidator => value => Array.isArray(value) && value.every(element => validator(element));

/** Undefined, or a valid value. */
export const optional = (validator: FieldValidator): FieldValidator => value => value === undefined || validator(value);

/** One of these values. */
export const oneOf = (...values: readonly unknown[]): FieldValidator => value => values.includes(value);

/** The first field that its validator rejects; undefined when all are valid. */
export const invalidField = (value: Readonly<Record<string, unknown>>, validators: FieldValidators): string | undefined => Object.keys(validators).find(field => !validators[field]!(value[field]));

/** An object whose fields are all valid. */
export const objectOf = (validators: FieldValidators): FieldValidator => value => isObject(value) && invalidField(value, validators) === undefined;
