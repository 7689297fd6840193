/**
Reads the body of a completion request: what the engine has to compute, or the error that it answers with in the callers' API's shape.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {z} from 'zod';
import {outputLength, TokenSource, type FinishReason} from './expected-tokens.js';
import {promptTextOf, promptTokensOf} from './prompt-text.js';

const defaultMaxTokens = 64;

/** An error as the callers' API shows it, with its status. */
export type EngineError = {
	readonly status: 400 | 404 | 413;
	readonly message: string;
	readonly code: string | null;
	readonly param: string | null;
};

/** A request, ready to be run. */
export type EngineRequest = {
	/** Given by the sender, or else made up. */
	readonly requestId: string;
	readonly model: string;
	readonly promptText: string;
	readonly promptTokens: number;
	/** The longest answer that was asked for, in tokens. */
	readonly maxTokens: number;
	/** How long the answer will be, in tokens. */
	readonly length: number;
	readonly finishReason: FinishReason;
	/** Tokens of the answer that were generated elsewhere. */
	readonly resumedTokens: number;
	readonly stream: boolean;
	readonly includeUsage: boolean;
};

const count = z.number().int().min(1);

const bodySchema = z.object({
	model: z.string(),
	messages: z.array(z.looseObject({role: z.string()})).min(1).optional(),
	prompt: z.union([z.string(), z.array(z.string())]).optional(),
	max_tokens: count.nullish(),
	max_completion_tokens: count.nullish(),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().optional()}).nullish(),
	request_id: z.string().optional(),
	resume: z.strictObject({text: z.string(), tokens: z.number().int().min(0)}).optional(),
});

type Body = z.infer<typeof bodySchema>;

const invalid = (message: string, parameter: string | null = null): EngineError => ({
	status: 400, message, code: null, param: parameter,
});

let madeUp = 0;

const toRequest = (body: Body): EngineRequest => {
	const promptText = promptTextOf(body);
	const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens;
	const {tokens, finishReason} = outputLength(promptText, maxTokens);
	return {
		requestId: body.request_id ?? `unnamed-${++madeUp}`,
		model: body.model,
		promptText,
		promptTokens: promptTokensOf(promptText),
		maxTokens,
		length: tokens,
		finishReason,
		resumedTokens: Math.min(body.resume?.tokens ?? 0, tokens),
		stream: body.stream ?? false,
		includeUsage: body.stream_options?.include_usage ?? false,
	};
};

/** A resume that is not this prompt's own beginning is a fault of the sender; going on from it would hide that. */
const resumesWrongly = (body: Body, request: EngineRequest): boolean => {
	const expected = new TokenSource(request.promptText).tokens(0, request.resumedTokens).join('');
	return body.resume !== undefined && (body.resume.text !== expected || body.resume.tokens > request.length);
};

const checked = (body: Body): Either<EngineError, EngineRequest> => {
	const request = toRequest(body);
	if (body.messages === undefined && body.prompt === undefined) {
		return Left(invalid('there is neither messages nor prompt'));
	}

	if (request.promptText.includes('[[never]]')) {
		return Left(invalid('this prompt can not be completed'));
	}

	return resumesWrongly(body, request) ? Left(invalid('the resumed text is not the beginning of this answer', 'resume')) : Right(request);
};

/** Checks a request's body. Fields that the stand-in does not know are ignored. */
export const parseEngineRequest = (value: unknown): Either<EngineError, EngineRequest> => {
	const parsed = bodySchema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		return Left(invalid(issue?.message ?? 'the body does not fit', issue?.path.join('.') ?? null));
	}

	return checked(parsed.data);
};
