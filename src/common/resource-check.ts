/**
Checks the objects that operators and their tools write, where they come in from the object API. The object API takes any value, and citronctl's own check does not bind other writers. Only what this system reads is checked, so that a newer version's additional fields do no harm.
*/
import type {ObjectKind} from './types.js';

type Fields = Readonly<Record<string, unknown>>;
type Test = (value: unknown) => boolean;

const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null && !Array.isArray(value);
const isText: Test = value => typeof value === 'string' && value !== '';
const isTime: Test = value => typeof value === 'string' && !Number.isNaN(Date.parse(value));
const isFlag: Test = value => typeof value === 'boolean';
const isCount: Test = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isPositive: Test = value => Number.isFinite(value) && (value as number) > 0;
const areTexts: Test = value => Array.isArray(value) && value.every(text => isText(text));
const optional = (test: Test): Test => value => value === undefined || test(value);
const oneOf = (...values: readonly unknown[]): Test => value => values.includes(value);

const specTests: Partial<Record<ObjectKind, Readonly<Record<string, Test>>>> = {
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

	const {spec} = value;
	const wrong = Object.keys(tests).find(field => !tests[field]!(spec[field]));
	return wrong && `spec.${wrong} is missing or malformed`;
};
