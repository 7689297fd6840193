/**
Steps for an answer over two runs, as the sink gives it to its caller.
*/
import assert from 'node:assert/strict';
import {Then, type DataTable} from '@cucumber/cucumber';
import type {AnswerChunk} from '../common/answer-assembler.js';
import type {BackendWork, GenerateWork} from '../common/protocol.js';
import {
	interruptedAnswers, continuationOf, generatedTexts, type InterruptedAnswer,
} from '../common/testing/interrupted-answers.js';
import {GenerationSink} from './answer-sink.js';

const feed = (sink: GenerationSink, chunks: readonly AnswerChunk[]) => {
	chunks.forEach(chunk => {
		assert.ok(sink.chunk(JSON.stringify(chunk)));
	});
};

const bodyOf = ({request}: InterruptedAnswer) => ({model: 'm', ...request});

/** Both runs, the second only where the sink lets one go on; false where it does not. */
const runTwice = (sink: GenerationSink, answer: InterruptedAnswer): boolean => {
	const work: BackendWork = {
		kind: 'generate', target: 'm', path: '/v1/chat/completions', body: bodyOf(answer),
	};
	feed(sink, answer.first);
	if (sink.isComplete || !sink.canContinue) {
		return sink.isComplete;
	}

	feed(sink, continuationOf(answer, (sink.continued(work) as GenerateWork).resume));
	assert.ok(sink.isComplete);
	return true;
};

const streamed = (answer: InterruptedAnswer): string => {
	const sent: AnswerChunk[] = [];
	const isWhole = runTwice(new GenerationSink(bodyOf(answer), chunk => {
		sent.push(chunk);
	}), answer);
	const choices = sent.flatMap(chunk => chunk.choices ?? []);
	const roles = choices.filter(({delta}) => delta?.role !== undefined).map(({index}) => index);
	assert.equal(roles.length, new Set(roles).size, 'a role stands twice');
	const said = generatedTexts(choices).join('');
	return isWhole ? said : `${said.trim()}, an error`;
};

const whole = (answer: InterruptedAnswer): string => {
	const sink = new GenerationSink(bodyOf(answer));
	assert.ok(runTwice(sink, answer));
	const {choices} = sink.result('x') as {choices: Parameters<typeof generatedTexts>[0]};
	return generatedTexts(choices).join(' / ');
};

Then('these are the answers whose first run brings something and ends:', (table: DataTable) => {
	assert.deepEqual(table.rows().map(([first = '']) => [first, streamed(interruptedAnswers[first]!), whole(interruptedAnswers[first]!)]), table.rows());
});
