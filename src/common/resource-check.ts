/**
Checks the objects that operators and their tools write, where they come in from the object API. The object API takes any value, and citronctl's own check does not bind other writers. Only what this system reads is checked, so that a newer version's additional fields do no harm.
*/
import {
	isCount, isFlag, isObject, isPositive, isText, isTime, listOf, oneOf, optional, wrongField, type FieldTests,
} from './field-tests.js';
import type {ObjectKind} from './types.js';

const areTexts = listOf(isText);

const specTests: Partial<Record<ObjectKind, FieldTests>> = {
	ServedModel: {version: isText, replicas: optional(isCount), minReady: optional(isCount)},
	ModelVersion: {weights: isText, adapter: optional(isText), bytes: optional(isCount)},
	OnlineService: {idempotentMethods: optional(areTexts), timeoutMs: optional(isPositive)},
	ClientAccount: {keySha256: areTexts, share: optional(isPositive), maxInFlight: optional(isCount)},
	BackendServer: {
		type: oneOf('engine', 'service'), models: optional(areTexts), service: optional(isText), checksFence: optional(isFlag),
	},
	BatchJob: {
		account: isText, jobKey: isText, inputFileId: isText, endpoint: isText, dueTime: isTime, createdTime: isTime, cancelled: optional(isFlag),
	},
};

/**
Checks one object's value.

@returns What is wrong with it; undefined when it is well formed, or of a kind that only the system itself writes.
*/
export const resourceFault = (kind: ObjectKind, name: string, value: unknown): string | undefined => {
	const tests = specTests[kind];
	if (!tests) {
		return undefined;
	}

	if (!isObject(value) || !isObject(value.metadata) || !isObject(value.spec)) {
		return 'wants metadata and spec';
	}

	if (value.metadata.name !== name) {
		return 'metadata.name is not the object\'s name';
	}

	const wrong = wrongField(value.spec, tests);
	return wrong && `spec.${wrong} is missing or malformed`;
};
