/**
Reads the complete configuration from the object API, as one set of changes that has no gaps up to its revision.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {ConfigChanges} from './config-table.js';
import type {Revision} from './ids.js';
import type {ObjectApi} from './services.js';
import type {
	ApiError, ObjectKind, ObjectPage, StoredObject, WatchBatch, WatchEvent,
} from './types.js';

type KindList = {readonly items: readonly StoredObject[]; readonly version: Revision};

const newestOf = (events: readonly WatchEvent[]): Revision => events.reduce((newest, {version}) => Math.max(newest, version), 0) as Revision;

const listKind = async (api: ObjectApi, kind: ObjectKind, name?: string): Promise<Either<ApiError, KindList>> => {
	const items: StoredObject[] = [];
	let first: ObjectPage | undefined;
	let page: ObjectPage | undefined;
	do {
		const read = await api.list(kind, {after: page?.items.at(-1)?.name, prefix: name});
		if (read.isLeft()) {
			return Left(read.extract());
		}

		page = read.extract() as ObjectPage;
		first ??= page;
		items.push(...page.items.filter(item => name === undefined || item.name === name));
	} while (page.more);

	return Right({items, version: first.version});
};

const withLaterChanges = (lists: readonly KindList[], {events, version}: WatchBatch, name?: string): ConfigChanges => {
	const later = events.filter(event => name === undefined || event.name === name);
	const listed = lists.flatMap(({items}) => items.map((item): WatchEvent => ({type: 'put', ...item})));
	const byKey = new Map([...listed, ...later].map(event => [`${event.kind}/${event.name}`, event]));
	const present = [...byKey.values()].filter(({type}) => type === 'put');
	return {
		full: true, since: 0 as Revision, revision: version, head: newestOf([...listed, ...later]), events: present,
	};
};

/**
Lists each kind, then requests the changes since the first list was read: the lists are read at different times, and only the changes in between make them consistent.

@param name - Only objects of this name; all by default.
*/
export const readConfig = async (api: ObjectApi, kinds: readonly ObjectKind[], name?: string): Promise<Either<ApiError, ConfigChanges>> => {
	const lists: KindList[] = [];
	for (const kind of kinds) {
		const list = await listKind(api, kind, name);
		if (list.isLeft()) {
			return Left(list.extract());
		}

		lists.push(list.extract() as KindList);
	}

	const since = lists[0]?.version ?? 0 as Revision;
	const watched = await api.watch(kinds, since, 0);
	return watched.map(batch => withLaterChanges(lists, batch, name));
};

/** Converts the result of one watch to changes of the table. */
export const changesOfWatch = ({events, version}: WatchBatch, since: Revision): ConfigChanges => ({
	full: false, since, revision: version, head: newestOf(events), events,
});
