/**
A parsed JSON file that retains the position of each value, so that schema problems can be reported with line and column. Comments and trailing commas are allowed.
*/
import {readFileSync} from 'node:fs';
import {Left, Right, type Either} from 'purify-ts/Either';
import {
	findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type JSONPath, type Node, type ParseError,
} from 'jsonc-parser';
import {type ZodType} from 'zod';
import {readableIssues, type ReadableIssue} from './schema-messages.js';
import {entireFile, type SettingsError, type SettingsProblem} from './settings-error.js';

/** Messages for read errors by error code. */
const readErrorMessages: Readonly<Record<string, string>> = {
	ENOENT: 'there is no such file',
	EACCES: 'may not be read',
	EISDIR: 'is a directory, not a file',
};

const syntaxMessages: Readonly<Record<string, string>> = {
	InvalidSymbol: 'this is not a JSON value',
	InvalidNumberFormat: 'this is not a number',
	PropertyNameExpected: 'expected a key in double quotes',
	ValueExpected: 'expected a value',
	ColonExpected: 'expected ":"',
	CommaExpected: 'expected ","',
	CloseBraceExpected: 'expected "}"',
	CloseBracketExpected: 'expected "]"',
	EndOfFileExpected: 'expected the end of the file',
	UnexpectedEndOfComment: 'a comment is not closed',
	UnexpectedEndOfString: 'a string is not closed',
};

/** A parsed file. It always has a root node, since an empty file is a syntax error. */
export class JsoncDocument {
	/**
	Reads and parses a file.

	@param file - Path of the file.
	@returns The document, or why it could not be read or parsed, with all syntax errors or all duplicate keys.
	*/
	static read(file: string): Either<SettingsError, JsoncDocument> {
		try {
			return JsoncDocument.parse(readFileSync(file, 'utf8'), file);
		} catch (err) {
			const {code, message} = err as NodeJS.ErrnoException;
			return Left({kind: 'unreadable', file, reason: readErrorMessages[code ?? ''] ?? message});
		}
	}

	/**
	@param text - Content of the file.
	@param file - File name for problem reports.
	@returns The document, or all syntax errors, or, without any, all duplicate keys.
	*/
	static parse(text: string, file: string): Either<SettingsError, JsoncDocument> {
		const source = {file, text};
		const errors: ParseError[] = [];
		const root = parseTree(text, errors, {allowTrailingComma: true});
		const problems = errors.map(({error, offset}) => {
			const code = printParseErrorCode(error);
			return problemAt(source, offset, entireFile, `syntax error: ${syntaxMessages[code] ?? code}`);
		});
		if (root === undefined || problems.length > 0) {
			return Left({kind: 'invalid', problems: problems.length > 0 ? problems : [problemAt(source, 0, entireFile, 'the file is empty')]});
		}

		const duplicateKeys = findDuplicateKeys(root).map(({offset, key}) => problemAt(source, offset, key, 'stands twice in the same object'));
		return duplicateKeys.length > 0 ? Left({kind: 'invalid', problems: duplicateKeys}) : Right(new JsoncDocument(source, root));
	}

	readonly #source: Source;
	readonly #root: Node;

	private constructor(source: Source, root: Node) {
		this.#source = source;
		this.#root = root;
	}

	/** The value of the entire file. */
	get value(): unknown {
		return getNodeValue(this.#root) as unknown;
	}

	/**
	Validates a part of the file against a schema.

	@param schema - Schema of the part.
	@param path - Path of the part; the entire file by default.
	@returns The validated value with defaults applied, or all problems in the order of their position.
	*/
	check<T>(schema: ZodType<T>, path: JSONPath = []): Either<SettingsError, T> {
		const node = findNodeAtLocation(this.#root, path);
		const checked = schema.safeParse(node && getNodeValue(node));
		if (checked.success) {
			return Right(checked.data);
		}

		const problems = checked.error.issues
			.flatMap(issue => readableIssues(issue, this.#valueAt(path)))
			.map(issue => this.#problem(issue, path))
			.toSorted((a, b) => a.line - b.line || a.column - b.column);
		return Left({kind: 'invalid', problems});
	}

	/**
	@param path - Path of the problem; if it does not exist, the position of its nearest existing ancestor is reported.
	@param message - Human-readable description.
	@returns A problem of this file.
	*/
	problemAtPath(path: JSONPath, message: string): SettingsProblem {
		return this.#problem({path, message}, []);
	}

	#valueAt(prefix: JSONPath): (path: JSONPath) => unknown {
		return path => {
			const node = findNodeAtLocation(this.#root, [...prefix, ...path]);
			return node && getNodeValue(node) as unknown;
		};
	}

	#problem({path, message}: ReadableIssue, prefix: JSONPath): SettingsProblem {
		const fullPath = [...prefix, ...path];
		const key = keyOf(fullPath);
		return problemAt(this.#source, this.#offset(fullPath), key, message);
	}

	/** Returns the offset of an existing key, or, for a missing key, the offset of its nearest existing ancestor. */
	#offset(path: JSONPath): number {
		const node = findNodeAtLocation(this.#root, path);
		if (node) {
			return node.parent?.type === 'property' ? node.parent.offset : node.offset;
		}

		return path.length === 0 ? this.#root.offset : this.#offset(path.slice(0, -1));
	}
}

const keyOf = (path: JSONPath): string => path.length === 0
	? entireFile
	: path.map((part, i) => typeof part === 'number' ? `[${part}]` : `${i === 0 ? '' : '.'}${part}`).join('');

/** Name and content of a file. */
type Source = {readonly file: string; readonly text: string};

const problemAt = ({file, text}: Source, offset: number, key: string, message: string): SettingsProblem => {
	const precedingLines = text.slice(0, offset).split('\n');
	return {
		file, line: precedingLines.length, column: (precedingLines.at(-1)?.length ?? 0) + 1, key, message,
	};
};

/** Finds duplicate keys. JSON parsers silently retain the last of two equal keys, so the first value of the operator would be lost. */
const findDuplicateKeys = (node: Node): ReadonlyArray<{offset: number; key: string}> => {
	const children = node.children ?? [];
	const keys = node.type === 'object' ? children.map(property => String(property.children?.[0]?.value)) : [];
	const duplicates = children
		.map(({offset}, i) => ({offset, key: keys[i] ?? ''}))
		.filter(({key}, i) => node.type === 'object' && keys.indexOf(key) < i);
	return [...duplicates, ...children.flatMap(findDuplicateKeys)];
};
