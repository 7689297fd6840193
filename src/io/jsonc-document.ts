/**
A file of JSON with comments that remembers where each value stands, so that a problem which a schema finds can be told with its line and column. Comments and trailing commas are allowed.
*/
import {readFileSync} from 'node:fs';
import {Left, Right, type Either} from 'purify-ts/Either';
import {
	findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type JSONPath, type Node, type ParseError,
} from 'jsonc-parser';
import {type ZodType} from 'zod';
import {plainMessages, type PlainIssue} from './schema-messages.js';
import {wholeFile, type SettingsError, type SettingsProblem} from './settings-error.js';

/** Reasons for which a file could not be read, in words. */
const readErrors: Readonly<Record<string, string>> = {
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

/** A parsed file. It has a root node: an empty file is a syntax error. */
export class JsoncDocument {
	/**
	Reads and parses a file.

	@param file - Its path.
	@returns The document, or why it could not be read or parsed. All syntax errors are told, and keys that stand twice.
	*/
	static read(file: string): Either<SettingsError, JsoncDocument> {
		try {
			return JsoncDocument.parse(readFileSync(file, 'utf8'), file);
		} catch (err) {
			const {code, message} = err as NodeJS.ErrnoException;
			return Left({kind: 'unreadable', file, reason: readErrors[code ?? ''] ?? message});
		}
	}

	/**
	@param text - The file's text.
	@param file - The name to tell problems under.
	@returns The document, or all syntax errors and keys that stand twice.
	*/
	static parse(text: string, file: string): Either<SettingsError, JsoncDocument> {
		const source = {file, text};
		const errors: ParseError[] = [];
		const root = parseTree(text, errors, {allowTrailingComma: true});
		const problems = errors.map(({error, offset}) => {
			const code = printParseErrorCode(error);
			return problemAt(source, offset, wholeFile, `syntax error: ${syntaxMessages[code] ?? code}`);
		});
		if (root === undefined || problems.length > 0) {
			return Left({kind: 'invalid', problems: problems.length > 0 ? problems : [problemAt(source, 0, wholeFile, 'the file is empty')]});
		}

		const repeated = repeatedKeys(root).map(({offset, key}) => problemAt(source, offset, key, 'stands twice in the same object'));
		return repeated.length > 0 ? Left({kind: 'invalid', problems: repeated}) : Right(new JsoncDocument(source, root));
	}

	readonly #source: Source;
	readonly #root: Node;

	private constructor(source: Source, root: Node) {
		this.#source = source;
		this.#root = root;
	}

	/** The plain value of the whole file. */
	get value(): unknown {
		return getNodeValue(this.#root) as unknown;
	}

	/**
	Checks a part of the file against a schema.

	@param schema - What the part must be.
	@param path - Where the part stands; the whole file by default.
	@returns The checked value with its defaults, or all problems, in the order of their lines.
	*/
	check<T>(schema: ZodType<T>, path: JSONPath = []): Either<SettingsError, T> {
		const node = findNodeAtLocation(this.#root, path);
		const checked = schema.safeParse(node && getNodeValue(node));
		if (checked.success) {
			return Right(checked.data);
		}

		const problems = checked.error.issues
			.flatMap(issue => plainMessages(issue, this.#valueAt(path)))
			.map(issue => this.#problem(issue, path))
			.toSorted((a, b) => a.line - b.line || a.column - b.column);
		return Left({kind: 'invalid', problems});
	}

	/**
	@param path - Where the problem is; the nearest place that exists is told.
	@param message - What is wrong.
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

	#problem({path, message}: PlainIssue, prefix: JSONPath): SettingsProblem {
		const whole = [...prefix, ...path];
		const key = keyOf(whole);
		return problemAt(this.#source, this.#offset(whole), key, message);
	}

	/** A missing key has no place of its own: its object's is told. A present key is told where the key begins. */
	#offset(path: JSONPath): number {
		const node = findNodeAtLocation(this.#root, path);
		if (node) {
			return node.parent?.type === 'property' ? node.parent.offset : node.offset;
		}

		return path.length === 0 ? this.#root.offset : this.#offset(path.slice(0, -1));
	}
}

const keyOf = (path: JSONPath): string => path.length === 0
	? wholeFile
	: path.map((part, i) => typeof part === 'number' ? `[${part}]` : `${i === 0 ? '' : '.'}${part}`).join('');

/** A file's name and its text. */
type Source = {readonly file: string; readonly text: string};

const problemAt = ({file, text}: Source, offset: number, key: string, message: string): SettingsProblem => {
	const before = text.slice(0, offset).split('\n');
	return {
		file, line: before.length, column: (before.at(-1)?.length ?? 0) + 1, key, message,
	};
};

/** JSON parsers keep the last of two equal keys without a word, so the operator's first value would be lost. */
const repeatedKeys = (node: Node): ReadonlyArray<{offset: number; key: string}> => {
	const children = node.children ?? [];
	const keys = node.type === 'object' ? children.map(property => String(property.children?.[0]?.value)) : [];
	const own = children
		.map(({offset}, i) => ({offset, key: keys[i] ?? ''}))
		.filter(({key}, i) => node.type === 'object' && keys.indexOf(key) < i);
	return [...own, ...children.flatMap(repeatedKeys)];
};
