/**
Keeps the configuration in force at this entry up to date from the object API: a list of each kind first, then one long poll after another.
*/
import type {ConfigTable} from '../common/config-table.js';
import type {Clock, Disposable, ObjectApi} from '../common/services.js';
import type {
	ApiError, ObjectKind, ObjectPage, WatchBatch,
} from '../common/types.js';

/** Kinds that every node needs. Batch jobs are left to their coordinators. */
export const configKinds: readonly ObjectKind[] = ['ServedModel', 'ModelVersion', 'OnlineService', 'ClientAccount', 'BackendServer'];

const watchMs = 10_000;
const retryMs = 500;

/** Follows the object API until disposed. */
export class ConfigFollower implements Disposable {
	readonly #api: ObjectApi;
	readonly #clock: Clock;
	readonly #table: ConfigTable;
	#disposed = false;

	constructor(api: ObjectApi, clock: Clock, table: ConfigTable) {
		this.#api = api;
		this.#clock = clock;
		this.#table = table;
	}

	/** Follows for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		let isListed = false;
		while (!this.#disposed) {
			isListed ||= await this.#listAll();
			const err: ApiError | undefined = isListed ? await this.#watchOnce() : undefined;
			isListed &&= err?.kind !== 'expired';
			if (!isListed || err) {
				await this.#clock.sleep(retryMs);
			}
		}
	}

	dispose(): void {
		this.#disposed = true;
	}

	async #listAll(): Promise<boolean> {
		const lists: Array<{kind: ObjectKind; items: ObjectPage['items']; version: ObjectPage['version']}> = [];
		for (const kind of configKinds) {
			const list = await this.#listKind(kind);
			if (!list) {
				return false;
			}

			lists.push({kind, ...list});
		}

		lists.forEach(({kind, ...list}) => {
			this.#table.applyList(kind, list);
		});
		// The first list is the oldest: from its version on nothing is missed.
		this.#table.apply([], lists[0]!.version);
		return true;
	}

	async #listKind(kind: ObjectKind): Promise<Pick<ObjectPage, 'items' | 'version'> | undefined> {
		const items: Array<ObjectPage['items'][number]> = [];
		let first: ObjectPage | undefined;
		let page: ObjectPage | undefined;
		do {
			const read = await this.#api.list(kind, {after: page?.items.at(-1)?.name});
			if (read.isLeft()) {
				return undefined;
			}

			page = read.extract() as ObjectPage;
			first ??= page;
			items.push(...page.items);
		} while (page.more);

		return {items, version: first.version};
	}

	async #watchOnce(): Promise<ApiError | undefined> {
		const batch = await this.#api.watch(configKinds, this.#table.revision, watchMs);
		batch.ifRight(({events, version}: WatchBatch) => {
			this.#table.apply(events, version);
		});
		return batch.isLeft() ? batch.extract() : undefined;
	}
}
