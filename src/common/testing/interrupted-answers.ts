/**
Answers whose first run ends before they are whole, in the kinds of pieces that engines send.
*/
import type {AnswerChunk} from '../answer-assembler.js';
import type {JsonObject, ResumePoint} from '../protocol.js';

/** An answer in two parts. */
export type InterruptedAnswer = {
	/** What the first run brings before it ends. */
	readonly first: readonly AnswerChunk[];
	/** What brings the answer to its end from there. */
	readonly rest: readonly AnswerChunk[];
	/** Fields of the request. */
	readonly request?: JsonObject;
};

type Message = {content?: string | null; refusal?: string | null; reasoning_content?: string; tool_calls?: Array<{function: {name: string; arguments: string}}>};

const chunkOf = (delta: object, finishReason?: string, index = 0): AnswerChunk => ({choices: [{index, delta, finish_reason: finishReason ?? null}]});
const role = chunkOf({role: 'assistant', content: ''});
const stop = chunkOf({}, 'stop');
const says = (...words: string[]) => words.map(content => chunkOf({content}));

/** By what the first run brings. */
export const interruptedAnswers: Readonly<Record<string, InterruptedAnswer>> = {
	nothing: {first: [], rest: [role, ...says('do ', 'BRAKE ', 'now'), stop]},
	'a role': {first: [role], rest: [...says('do ', 'BRAKE ', 'now'), stop]},
	'a text': {first: [role, ...says('do ', 'BRAKE ')], rest: [...says('now'), stop]},
	// An engine that is given a text which has come to its end has something to add.
	'all but the end': {first: [role, ...says('do ', 'BRAKE ', 'now'), stop], rest: [...says(', or not'), stop]},
	'a reasoning': {first: [role, chunkOf({reasoning_content: 'R1 '})], rest: [chunkOf({reasoning_content: 'R2 '}), ...says('do ', 'BRAKE ', 'now'), stop]},
	'a tool call': {
		first: [chunkOf({
			role: 'assistant', tool_calls: [{
				index: 0, id: 'c', type: 'function', function: {name: 'book', arguments: '(left '},
			}],
		})],
		rest: [chunkOf({tool_calls: [{index: 0, function: {arguments: 'rear)'}}]}), stop],
	},
	'one of two choices': {
		first: [role, ...says('left'), stop], rest: [chunkOf({role: 'assistant', content: 'right'}, undefined, 1), chunkOf({}, 'stop', 1)], request: {n: 2},
	},
	'a part of one of two choices': {
		first: [role, ...says('le')], rest: [...says('ft'), stop, chunkOf({role: 'assistant', content: 'right'}, undefined, 1), chunkOf({}, 'stop', 1)], request: {n: 2},
	},
	'a refusal': {first: [role, chunkOf({refusal: 'I can '})], rest: [chunkOf({refusal: 'not say'}), stop]},
};

/** What an engine sends that is given the request, with or without a place to go on from. */
export const laterRun = ({first, rest}: InterruptedAnswer, resume: ResumePoint | undefined): readonly AnswerChunk[] => resume ? [role, ...rest] : [...first, ...rest];

/** All that a message says, in one text. */
export const saidIn = ({content, refusal, reasoning_content: reasoning, tool_calls: tools}: Message): string => [
	reasoning, content, refusal, ...(tools ?? []).map(tool => `${tool.function.name}${tool.function.arguments}`),
].filter(Boolean).join('');
