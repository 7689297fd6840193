/**
Steps for the agent's copy of the engine's cache and the entries' index of it.
*/
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CacheMirror} from './cache-mirror.js';
import {branded, type BlockHash, type VmName} from './ids.js';
import {PrefixIndex} from './prefix-index.js';
import type {TestWorld} from './testing/test-world.js';

type State = {readonly prompt: readonly BlockHash[]; readonly mirror: CacheMirror; readonly index: PrefixIndex; readonly other: PrefixIndex};

const states = new WeakMap<TestWorld, State>();
const stateOf = (world: TestWorld) => states.get(world)!;
const vm = branded<VmName>('vm-1');
const maxBlocks = 100;

const confirm = ({mirror, index}: State, prompt: readonly BlockHash[], seq: number) => {
	const held = mirror.heldPrefix(prompt);
	mirror.recordAnsweredPrompt(held);
	index.confirmed(vm, held.slice(-1), seq);
};

const ask = ({mirror}: State, index: PrefixIndex) => {
	index.dropped(vm, mirror.changesSince(index.seqOf(vm)));
};

const drop = ({mirror, prompt}: State, first: number, last: number, seq: number) => {
	mirror.apply([{seq, type: 'removed', blocks: prompt.slice(first - 1, last)}]);
};

Given('a prompt of {int} blocks, and an engine that has stored them as event {int}', function (this: TestWorld, count: number, seq: number) {
	const prompt = Array.from({length: count}, (_, i) => branded<BlockHash>(`block-${i + 1}`));
	const mirror = new CacheMirror();
	mirror.apply([{seq, type: 'stored', blocks: prompt}]);
	states.set(this, {
		prompt, mirror, index: new PrefixIndex(maxBlocks), other: new PrefixIndex(maxBlocks),
	});
});

When('the agent confirms the prompt to an entry', function (this: TestWorld) {
	const state = stateOf(this);
	confirm(state, state.prompt, state.mirror.seq);
});

When('an answer to the first {int} blocks alone is confirmed to the entry', function (this: TestWorld, count: number) {
	const state = stateOf(this);
	confirm(state, state.prompt.slice(0, count), state.mirror.seq);
});

When('the engine drops blocks {int} to {int} as event {int}', function (this: TestWorld, first: number, last: number, seq: number) {
	drop(stateOf(this), first, last, seq);
});

When('the engine drops blocks {int} to {int} as event {int}, and the event before it is lost', function (this: TestWorld, first: number, last: number, seq: number) {
	drop(stateOf(this), first, last, seq);
});

When('the entry asks the agent for changes', function (this: TestWorld) {
	ask(stateOf(this), stateOf(this).index);
});

When('another entry asks the agent for changes', function (this: TestWorld) {
	ask(stateOf(this), stateOf(this).other);
});

When('a confirmation as of event {int} arrives late at the entry', function (this: TestWorld, seq: number) {
	const {index, prompt} = stateOf(this);
	index.confirmed(vm, prompt.slice(-1), seq);
});

Then('the entry counts {int} cached tokens', function (this: TestWorld, tokens: number) {
	const {index, prompt} = stateOf(this);
	assert.equal(index.cachedTokens(vm, prompt), tokens);
});

Then('the other entry counts {int} cached tokens', function (this: TestWorld, tokens: number) {
	const {other, prompt} = stateOf(this);
	assert.equal(other.cachedTokens(vm, prompt), tokens);
});

Then('the agent holds no blocks', function (this: TestWorld) {
	assert.equal(stateOf(this).mirror.size, 0);
});
