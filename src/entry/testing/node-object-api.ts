/**
The object API as one node of a test reaches it: the node can be cut off, slow, or paused in the middle of a call.
*/
import {Left, type Either} from 'purify-ts/Either';
import type {FakeObjectApi} from '../../common/testing/fake-object-api.js';
import type {ObjectApi} from '../../common/services.js';
import type {ApiError, ObjectKind} from '../../common/types.js';

/** Where in a call a hook runs: before it takes effect, or after, before the node hears of it. */
export type CallMoment = 'before' | 'after';

/** Runs at a moment of a call. */
export type CallHook = (moment: CallMoment, method: string, kind: ObjectKind, name: string) => void | Promise<void>;

const lost: ApiError = {kind: 'unknown', reason: 'the node is gone'};

/** Passes calls on to the shared object API. */
export class NodeObjectApi implements ObjectApi {
	/** While true, calls fail and change nothing. */
	cut = false;
	/** Milliseconds that each answer takes. */
	delayMs = 0;
	hook: CallHook | undefined;
	readonly get: ObjectApi['get'];
	readonly create: ObjectApi['create'];
	readonly update: ObjectApi['update'];
	readonly remove: ObjectApi['remove'];
	readonly list: ObjectApi['list'];
	readonly watch: ObjectApi['watch'];

	constructor(shared: FakeObjectApi) {
		this.get = async (kind, name) => this.#pass('get', kind, name, async () => shared.get(kind, name));
		this.create = async (kind, name, value) => this.#pass('create', kind, name, async () => shared.create(kind, name, value));
		this.update = async (kind, name, value, version) => this.#pass('update', kind, name, async () => shared.update(kind, name, value, version));
		this.remove = async (kind, name, version) => this.#pass('remove', kind, name, async () => shared.remove(kind, name, version));
		this.list = async (kind, query) => this.#pass('list', kind, query?.prefix ?? '', async () => shared.list(kind, query));
		this.watch = async (kinds, since, waitMs) => this.#pass('watch', kinds[0]!, '', async () => shared.watch(kinds, since, waitMs));
	}

	async #pass<T>(method: string, kind: ObjectKind, name: string, call: () => Promise<Either<ApiError, T>>): Promise<Either<ApiError, T>> {
		await this.hook?.('before', method, kind, name);
		if (this.cut) {
			return Left({kind: 'unavailable', reason: 'cut off'});
		}

		const answer = await call();
		await this.hook?.('after', method, kind, name);
		if (this.delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.delayMs);
			});
		}

		return this.cut ? Left(lost) : answer;
	}
}
