/**
Steps for two runs of one chunk that commit at the same time.
*/
import assert from 'node:assert/strict';
import {Then, type DataTable} from '@cucumber/cucumber';
import type {ItemResult, ResultPrefix} from '../common/batch-types.js';
import {branded} from '../common/ids.js';
import type {ChunkGrant} from '../common/protocol.js';
import {FakeObjectApi} from '../common/testing/fake-object-api.js';
import {storeOf} from '../entry/testing/batch-world.js';
import {SeededRandom} from '../io/seeded-random.js';
import {ResultWriter, type CommitOutcome} from './result-writer.js';

type Run = {isGranted: boolean};
type Happening = (api: FakeObjectApi, first: Run) => void;

const items = 3;
const results = branded<ResultPrefix>('batch_a1/x');
const grant = {chunk: 0, results, fence: 1} as unknown as ChunkGrant;
/** Two of them do not fit one value. */
const largeCharacters = 600_000;

const resultOf = (run: string, size: string): ItemResult[] => Array.from({length: items}, (_, index) => ({
	id: `${run}/${index}`, custom_id: `note-${index}`, response: {status_code: 200, request_id: run, body: size === 'large' ? run.repeat(largeCharacters) : run}, error: null,
}));

/** Acts before the given number of creates. */
const atCreate = (api: FakeObjectApi, kind: string, number: number, act: () => void) => {
	let creates = 0;
	api.beforeCall = (call, called) => {
		creates += call === 'create' && called === kind ? 1 : 0;
		if (creates === number) {
			creates += 1;
			act();
		}
	};
};

const happenings: Readonly<Record<string, Happening>> = {
	nothing: () => undefined,
	'the answer to a\'s commit is lost'(api) {
		api.loseNextAnswer();
	},
	'the answers to all parts are lost'(api) {
		api.loseNextAnswer(2 * items);
	},
	'a lapses after its parts'(api, first) {
		atCreate(api, 'Result', 1, () => {
			api.down = true;
			first.isGranted = false;
			setImmediate(() => {
				api.down = false;
			});
		});
	},
	'a lapses between its parts'(_api, first) {
		queueMicrotask(() => {
			first.isGranted = false;
		});
	},
};

const commitBoth = async (size: string, what: string): Promise<string[]> => {
	const api = new FakeObjectApi();
	const runs: Record<'a' | 'b', Run> = {a: {isGranted: true}, b: {isGranted: true}};
	happenings[what]!(api, runs.a);
	const commit = async (run: 'a' | 'b'): Promise<CommitOutcome> => new ResultWriter(`vm-${run}`, {
		api,
		clock: {
			now: () => 0, wall: () => 0, sleep: async () => new Promise(resolve => {
				setImmediate(resolve);
			}),
		},
		random: new SeededRandom(1),
		isGranted: () => runs[run].isGranted,
	}).commit(grant, resultOf(run, size), 0);
	const outcomes = await Promise.all([commit('a'), commit('b')]);
	const read = await storeOf(api).readResults(results, 0);
	const stored = read.unsafeCoerce();
	assert.deepEqual(stored.map(({custom_id: id}) => id), ['note-0', 'note-1', 'note-2']);
	return [...outcomes, stored.map(({response}) => response?.request_id).join(' ')];
};

Then('these are the outcomes and what is read of {int} items, by what happens while run "a" and run "b" commit:', async (count: number, table: DataTable) => {
	assert.equal(count, items);
	const found = await Promise.all(table.rows().map(async ([size = '', what = '']) => [size, what, ...await commitBoth(size, what)]));
	assert.deepEqual(found, table.rows());
});
