/**
Checks a caller's generation request and estimates its cost.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {BlockHash} from '../common/ids.js';
import {isNestedDeeper, maxJsonDepth} from '../common/json-depth.js';
import {blockHashes} from '../common/prefix-blocks.js';
import {promptTextOf, promptTokensOf} from '../common/prompt-text.js';
import type {JsonObject} from '../common/protocol.js';
import {invalidRequest, type ApiError} from './api-error.js';

/** A checked request. */
export type GenerationRequest = {
	readonly model: string;
	readonly stream: boolean;
	/** Whether the caller's stream ends with the usage. */
	readonly includeUsage: boolean;
	/** The engine's request, without the fields that concern the stream. */
	readonly body: JsonObject;
	/** Tokens of the prompt and the answer, estimated. */
	readonly costTokens: number;
	/** Tokens of the prompt, estimated. */
	readonly promptTokens: number;
	readonly promptBlocks: readonly BlockHash[];
};

const defaultAnswerTokens = 64;
const maxCountedAnswerTokens = 512;

const isObject = (value: unknown): value is JsonObject => typeof value === 'object' && value !== null && !Array.isArray(value);

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

type Check = (body: JsonObject) => ApiError | undefined;

const checkModel: Check = body => typeof body.model === 'string' && body.model !== ''
	? undefined
	: invalidRequest('model must be a string', {param: 'model'});

const checkMessages: Check = body => Array.isArray(body.messages) && body.messages.length > 0 && body.messages.every(message => isObject(message) && typeof message.role === 'string')
	? undefined
	: invalidRequest('messages must be a list of objects with a role', {param: 'messages'});

const checkPrompt: Check = body => typeof body.prompt === 'string'
	? undefined
	: invalidRequest('prompt must be a string', {param: 'prompt'});

const checkCount = (parameter: string): Check => body => {
	const value = body[parameter];
	return value === undefined || value === null || (Number.isInteger(value) && (value as number) > 0)
		? undefined
		: invalidRequest(`${parameter} must be a whole number above 0`, {param: parameter});
};

const checkStream: Check = body => body.stream === undefined || body.stream === null || typeof body.stream === 'boolean'
	? undefined
	: invalidRequest('stream must be true or false', {param: 'stream'});

const commonChecks: readonly Check[] = [checkModel, checkCount('max_tokens'), checkCount('max_completion_tokens'), checkStream];

const checksByPath: Readonly<Record<string, readonly Check[]>> = {
	'/v1/chat/completions': [...commonChecks, checkMessages],
	'/v1/completions': [...commonChecks, checkPrompt],
};

/** The paths on which generations are asked for. */
export const generationPaths: readonly string[] = Object.keys(checksByPath);

/** Estimates the tokens of an answer from the longest that the request allows. */
export const estimateAnswerTokens = (body: JsonObject): number => Math.min(Number(body.max_completion_tokens ?? body.max_tokens ?? defaultAnswerTokens), maxCountedAnswerTokens);

/**
Checks a request.

@param path - One of {@link generationPaths}.
@param text - The body as it came.
@returns The request, or the error for its caller.
*/
export const parseGeneration = (path: string, text: string): Either<ApiError, GenerationRequest> => {
	const body = parseJson(text);
	if (!isObject(body)) {
		return Left(invalidRequest('the body is not a JSON object', {code: 'invalid_json'}));
	}

	// Passing it on would overflow the stack here or at the agent.
	if (isNestedDeeper(body)) {
		return Left(invalidRequest(`the body is nested more than ${maxJsonDepth} levels deep`, {code: 'invalid_json'}));
	}

	const err = (checksByPath[path] ?? []).map(check => check(body)).find(found => found !== undefined);
	if (err) {
		return Left(err);
	}

	const {stream, stream_options: streamOptions, ...rest} = body;
	const promptText = promptTextOf(body);
	const promptTokens = promptTokensOf(promptText);
	return Right({
		model: String(body.model),
		stream: stream === true,
		includeUsage: isObject(streamOptions) && streamOptions.include_usage === true,
		body: rest,
		costTokens: promptTokens + estimateAnswerTokens(body),
		promptTokens,
		promptBlocks: blockHashes(promptText),
	});
};
