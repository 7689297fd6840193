/**
Converts schema validation issues into messages for operators. The unit of a number is part of its key (`timeoutMs`, `limitBytes`), so the message for a value such as "5s" can name the expected unit.
*/
import {type core} from 'zod';

/** A validation problem at a path, with a human-readable message. */
export type ReadableIssue = {
	readonly path: Array<string | number>;
	readonly message: string;
};

type Issue = core.$ZodIssue;
type ValueAt = (path: Array<string | number>) => unknown;

/** Units of numbers by the suffix of their key. */
const units: ReadonlyArray<readonly [ending: string, unit: string]> = [
	['Ms', 'milliseconds'],
	['Bytes', 'bytes'],
	['Hours', 'hours'],
	['PerSecond', 'times a second'],
];

const typeNames: Readonly<Record<string, string>> = {
	string: 'a string', number: 'a number', int: 'a whole number', boolean: 'true or false', array: 'a list', object: 'an object', record: 'an object', null: 'null',
};

/** Formats a value for a message; lists and objects by type only, since they may be long. */
const formatValue = (value: unknown): string => {
	if (typeof value === 'string') {
		return `the string ${JSON.stringify(value)}`;
	}

	return typeof value === 'object' && value !== null ? describeType(Array.isArray(value) ? 'array' : 'object') : String(value);
};

const describeType = (type: string): string => typeNames[type] ?? type;

const describeExpected = (expected: string, path: Array<string | number>): string => {
	const key = String(path.at(-1) ?? '');
	const unit = units.find(([ending]) => key.endsWith(ending))?.[1];
	const isNumber = expected === 'number' || expected === 'int';
	return unit && isNumber ? `a number of ${unit}` : describeType(expected);
};

const formatList = (values: readonly unknown[]): string => values.map(value => JSON.stringify(value)).join(', ');

const choiceMessage = (choices: readonly unknown[], value: unknown): string => value === undefined
	? `is missing: wants one of ${formatList(choices)}`
	: `wants one of ${formatList(choices)}, not ${JSON.stringify(value)}`;

const boundMessage = (issue: {origin: string; inclusive?: boolean}, limit: unknown, words: readonly [string, string]): string => {
	const subject: Readonly<Record<string, string>> = {string: ' characters', array: ' entries'};
	return `must ${subject[issue.origin] ? 'have' : 'be'} ${issue.inclusive === false ? words[1] : words[0]} ${String(limit)}${subject[issue.origin] ?? ''}`;
};

const maxDepth = (issues: readonly ReadableIssue[]): number => Math.max(...issues.map(({path}) => path.length));

type IssueFormatter<Code extends Issue['code']> = (issue: Extract<Issue, {code: Code}>, path: Array<string | number>, valueAt: ValueAt) => ReadableIssue[];
type IssueFormatters = {readonly [Code in Issue['code']]?: IssueFormatter<Code>};

const issueFormatters: IssueFormatters = {
	invalid_type(issue, path, valueAt) {
		const value = valueAt(path);
		const requirement = `wants ${describeExpected(issue.expected, path)}`;
		return [{path, message: value === undefined ? `is missing: ${requirement}` : `${requirement}, not ${formatValue(value)}`}];
	},
	unrecognized_keys: (issue, path) => issue.keys.map(key => ({path: [...path, key], message: 'is not a known key'})),
	invalid_value: (issue, path, valueAt) => [{path, message: choiceMessage(issue.values, valueAt(path))}],
	too_small: (issue, path) => [{path, message: boundMessage(issue, issue.minimum, ['at least', 'more than'])}],
	too_big: (issue, path) => [{path, message: boundMessage(issue, issue.maximum, ['at most', 'less than'])}],
	/** Reports the problems of the union member that matches best: the one whose problems are deepest, and of those the one with the fewest. */
	invalid_union(issue, path, valueAt) {
		if ('options' in issue && Array.isArray(issue.options)) {
			return [{path, message: choiceMessage(issue.options, valueAt(path))}];
		}

		const alternatives = issue.errors.map(issues => issues.flatMap(inner => readableIssues({...inner, path: [...issue.path, ...inner.path]}, valueAt)));
		const [bestMatch] = alternatives.filter(issues => issues.length > 0).toSorted((a, b) => maxDepth(b) - maxDepth(a) || a.length - b.length);
		return bestMatch ?? [{path, message: issue.message}];
	},
};

/**
@param issue - Issue reported by a schema.
@param valueAt - Returns the value at a path, or `undefined` when there is none.
@returns The issue as human-readable problems; several when several keys are unknown.
*/
export const readableIssues = (issue: Issue, valueAt: ValueAt): ReadableIssue[] => {
	const path = issue.path.filter(part => typeof part !== 'symbol');
	const formatter = issueFormatters[issue.code] as IssueFormatter<Issue['code']> | undefined;
	const formatted = formatter?.(issue, path, valueAt);
	return formatted ?? [{path, message: valueAt(path) === undefined ? `is missing: ${issue.message}` : issue.message}];
};
