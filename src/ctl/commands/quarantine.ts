/**
`quarantine list` and `quarantine release`: which requests and which prompt parts the fronts hold back because replicas end under them, and releasing one, for instance once the replicas are repaired. A front releases a request or a part when its record is removed.
*/
import {Right, type Either} from 'purify-ts/Either';
import type {ObjectApi} from '../../common/services.js';
import type {ApiError, StoredObject} from '../../common/types.js';
import {isQuarantineRecord, type QuarantineRecord} from '../../gateway/quarantine/quarantine-records.js';
import type {Command} from '../command.js';
import {fromApiError} from '../ctl-error.js';
import {alignedLines} from '../resource-table.js';

/** One request or prompt part that is held back, or was and is tried again. */
type HeldRequest = {
	/** A digest, the same for the same host, method, path and body; or the key of a part. */
	readonly content: string;
	/** Nothing where the record cannot be read. */
	readonly record: QuarantineRecord | undefined;
};

const kind = 'Quarantine';

const readAll = async (api: ObjectApi, after?: string): Promise<Either<ApiError, readonly HeldRequest[]>> => {
	const page = await api.list(kind, {after});
	if (page.isLeft()) {
		return page;
	}

	const {items, more} = page.unsafeCoerce();
	const held = items.map(({name, value}: StoredObject) => ({content: name, record: isQuarantineRecord(value) ? value as QuarantineRecord : undefined}));
	const last = items.at(-1)?.name;
	if (!more || last === undefined) {
		return Right(held);
	}

	const rest = await readAll(api, last);
	return rest.map(others => [...held, ...others]);
};

const unreadable = 'can not be read';

const rowOf = ({content, record}: HeldRequest): string[] => record
	? [content, String(record.starts.length), new Date(record.lastCrashAt).toISOString(), record.starts.join(' '), [...new Set(record.seenBy)].join(' ') || '-']
	: [content, unreadable, '-', '-', '-'];

/** Lists the requests and prompt parts that are held back. */
export const quarantineListCommand: Command = {
	usage: 'quarantine list',
	describe: 'Show the requests and prompt parts that are held back because they end the replicas that run them',
	async run({objectApi, output}) {
		const api = objectApi();
		if (api.isLeft()) {
			return api;
		}

		const read = await readAll(api.unsafeCoerce());
		return read.mapLeft(err => fromApiError(err, 'quarantine')).ifRight(held => {
			if (output.format === 'json') {
				output.print(JSON.stringify(held.map(({content, record}) => ({content, ...record})), undefined, '\t'));
				return;
			}

			alignedLines([['CONTENT', 'CRASHES', 'LAST-CRASH', 'REPLICA-STARTS', 'SEEN-BY'], ...held.map(request => rowOf(request))]).forEach(line => {
				output.print(line);
			});
		});
	},
};

/** Releases one request or prompt part. */
export const quarantineReleaseCommand: Command = {
	usage: 'quarantine release <content>',
	describe: 'Release a request or prompt part that is held back; all fronts send it again',
	async run({objectApi, output}, [content = '']) {
		const api = objectApi();
		if (api.isLeft()) {
			return api;
		}

		const removed = await api.unsafeCoerce().remove(kind, content);
		return removed.mapLeft(err => fromApiError(err, `quarantine ${content}`)).ifRight(() => {
			output.print(`quarantine ${content} released`);
		});
	},
};
