/**
Validates the objects that operators and their tools write, when they are read from the object API. The object API accepts any value, and citronctl's own check does not bind other writers. Only the fields that this system reads are checked, so that a newer version's additional fields do no harm.
*/
import {
	isNonNegativeInteger, isBoolean, isObject, isPositiveNumber, isNonEmptyString, isTimestamp, listOf, oneOf, optional, invalidField, type FieldValidators,
} from './field-validators.js';
import type {ObjectKind} from './types.js';

const areNonEmptyStrings = listOf(isNonEmptyString);

const specValidators: Partial<Record<ObjectKind, FieldValidators>> = {
	ServedModel: {version: isNonEmptyString, replicas: optional(isNonNegativeInteger), minReady: optional(isNonNegativeInteger)},
	ModelVersion: {weights: isNonEmptyString, adapter: optional(isNonEmptyString), bytes: optional(isNonNegativeInteger)},
	OnlineService: {idempotentMethods: optional(areNonEmptyStrings), timeoutMs: optional(isPositiveNumber)},
	ClientAccount: {keySha256: areNonEmptyStrings, share: optional(isPositiveNumber), maxInFlight: optional(isNonNegativeInteger)},
	BackendServer: {
		type: oneOf('engine', 'service'), models: optional(areNonEmptyStrings), service: optional(isNonEmptyString), checksFence: optional(isBoolean),
	},
	BatchJob: {
		account: isNonEmptyString, jobKey: isNonEmptyString, inputFileId: isNonEmptyString, endpoint: isNonEmptyString, dueTime: isTimestamp, createdTime: isTimestamp, cancelled: optional(isBoolean),
	},
};

/**
Validates one object's value.

@returns A description of the fault; undefined when the value is well formed, or of a kind that only the system itself writes.
*/
export const resourceFault = (kind: ObjectKind, name: string, value: unknown): string | undefined => {
	const validators = specValidators[kind];
	if (!validators) {
		return undefined;
	}

	if (!isObject(value) || !isObject(value.metadata) || !isObject(value.spec)) {
		return 'metadata or spec is missing or malformed';
	}

	if (value.metadata.name !== name) {
		return 'metadata.name differs from the object\'s name';
	}

	const invalid = invalidField(value.spec, validators);
	return invalid && `spec.${invalid} is missing or malformed`;
};
