/**
Answers whose first run ends before they are complete, in the kinds of chunks that engines send.
*/
import type {AnswerChunk} from '../answer-assembler.js';
import type {JsonObject, ResumePoint} from '../protocol.js';

/** An answer in two parts. */
export type InterruptedAnswer = {
	/** The chunks of the first run, before it ends. */
	readonly first: readonly AnswerChunk[];
	/** The chunks that complete the answer from there. */
	readonly rest: readonly AnswerChunk[];
	/** Fields of the request. */
	readonly request?: JsonObject;
};

type Message = {content?: string | null; refusal?: string | null; reasoning_content?: string; tool_calls?: Array<{function: {name: string; arguments: string}}>};
type Logprobs = {content?: unknown[]; tokens?: unknown[]} | null;
type Choice = {message?: Message; delta?: object; text?: string; logprobs?: Logprobs};

const chunkOf = (delta: object, finishReason?: string, index = 0): AnswerChunk => ({choices: [{index, delta, finish_reason: finishReason ?? null}]});
const role = chunkOf({role: 'assistant', content: ''});
const stop = chunkOf({}, 'stop');
const textChunks = (...words: string[]) => words.map(content => chunkOf({content}));

const chunksWithLogprobs = (...words: string[]): AnswerChunk[] => words.map(content => ({choices: [{index: 0, delta: {content}, logprobs: {content: [{token: content}]}}]}));
const textsWithLogprobs = (...words: string[]): AnswerChunk[] => words.map(text => ({object: 'text_completion', choices: [{index: 0, text, logprobs: {tokens: [text]}}]}));

/** Interrupted answers, by the content of the first run. */
export const interruptedAnswers: Readonly<Record<string, InterruptedAnswer>> = {
	nothing: {first: [], rest: [role, ...textChunks('do ', 'BRAKE ', 'now'), stop]},
	'a role': {first: [role], rest: [...textChunks('do ', 'BRAKE ', 'now'), stop]},
	'a text': {first: [role, ...textChunks('do ', 'BRAKE ')], rest: [...textChunks('now'), stop]},
	// An engine that resumes a text which is already complete generates more of it.
	'all but the end': {first: [role, ...textChunks('do ', 'BRAKE ', 'now'), stop], rest: [...textChunks(', or not'), stop]},
	'a reasoning': {first: [role, chunkOf({reasoning_content: 'R1 '})], rest: [chunkOf({reasoning_content: 'R2 '}), ...textChunks('do ', 'BRAKE ', 'now'), stop]},
	'a tool call': {
		first: [chunkOf({
			role: 'assistant', tool_calls: [{
				index: 0, id: 'c', type: 'function', function: {name: 'book', arguments: '(left '},
			}],
		})],
		rest: [chunkOf({tool_calls: [{index: 0, function: {arguments: 'rear)'}}]}), stop],
	},
	'one of two choices': {
		first: [role, ...textChunks('left'), stop], rest: [chunkOf({role: 'assistant', content: 'right'}, undefined, 1), chunkOf({}, 'stop', 1)], request: {n: 2},
	},
	'a part of one of two choices': {
		first: [role, ...textChunks('le')], rest: [...textChunks('ft'), stop, chunkOf({role: 'assistant', content: 'right'}, undefined, 1), chunkOf({}, 'stop', 1)], request: {n: 2},
	},
	'log probabilities': {first: [role, ...chunksWithLogprobs('do ', 'BRAKE ')], rest: [...chunksWithLogprobs('now'), stop]},
	'those of a text': {first: textsWithLogprobs('do ', 'BRAKE '), rest: [...textsWithLogprobs('now'), {object: 'text_completion', choices: [{index: 0, text: '', finish_reason: 'stop'}]}]},
	'a refusal': {first: [role, chunkOf({refusal: 'I can '})], rest: [chunkOf({refusal: 'not say'}), stop]},
};

/** Returns the chunks that an engine sends for the request, with or without a resume point. */
export const continuationOf = ({first, rest}: InterruptedAnswer, resume: ResumePoint | undefined): readonly AnswerChunk[] => resume ? [role, ...rest] : [...first, ...rest];

const messageText = ({content, refusal, reasoning_content: reasoning, tool_calls: tools}: Message): string => [
	reasoning, content, refusal, ...(tools ?? []).map(tool => `${tool.function.name}${tool.function.arguments}`),
].filter(Boolean).join('');

/** Returns the generated text of each choice, of a complete answer or of the chunks of a stream; followed by the number of its log probabilities, where it has some. */
export const generatedTexts = (choices: readonly Choice[]): string[] => choices.map(({message, delta, text, logprobs}) => {
	const {length} = logprobs?.content ?? logprobs?.tokens ?? [];
	return `${messageText(message ?? delta ?? {content: text})}${length > 0 ? `(${length})` : ''}`;
});
