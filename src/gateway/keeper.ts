/**
The composition root of `citronyard-keeper`, which runs on VMs with a disk. The gateway keeps nothing there: what must last is in the object API. So when operators ask for such a VM to be emptied, the keeper can say at once that it may be taken away.
*/
import {Right, type Either} from 'purify-ts/Either';
import {NodeLifecycle} from '../common/node-lifecycle.js';
import type {Clock, EventLog, ObjectApi} from '../common/services.js';
import type {StoredObject} from '../common/types.js';
import type {RunningProgram, StartError} from '../io/program.js';
import {gatewayEvents} from './log-events.js';
import {ObjectFeed} from './object-feed.js';
import type {RecordReaders} from './record-readers.js';
import type {KeeperSettings} from './settings.js';

/** What the keeper needs. */
export type KeeperParts = {
	readonly api: ObjectApi;
	readonly records: Pick<RecordReaders, 'readRetirement' | 'retirementDone'>;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Retirements give seconds; a long wait keeps the calls of many keepers few. In milliseconds. */
const watchMs = 10_000;

/** See the module's head. */
export class Keeper implements RunningProgram {
	readonly #settings: KeeperSettings;
	readonly #parts: KeeperParts;
	readonly #lifecycle = new NodeLifecycle();
	readonly #feed: ObjectFeed;

	constructor(settings: KeeperSettings, parts: KeeperParts) {
		this.#settings = settings;
		this.#parts = parts;
		this.#feed = new ObjectFeed(parts, 'Retirement', {waitMs: watchMs, mayLag: true});
		this.#feed.onSnapshot(items => {
			items.forEach(item => {
				void this.#answer(item);
			});
		});
		this.#feed.onChanges(events => {
			events.filter(({type}) => type === 'put').forEach(({name, version, value, kind}) => {
				void this.#answer({
					name, version, value, kind,
				});
			});
		});
	}

	/** Begins to follow the operators' wishes. */
	async start(): Promise<Either<StartError, Keeper>> {
		this.#feed.start();
		this.#lifecycle.send('started');
		return Right(this);
	}

	/** Nothing is under way that a stop could cut off. */
	async drain(): Promise<void> {
		this.#lifecycle.send('drain');
	}

	dispose(): void {
		this.#feed.dispose();
		this.#lifecycle.dispose();
	}

	/** Answers for the VM that it runs on. The write is conditional: the answer belongs to the wish as it was read. */
	async #answer({name, version, value}: StoredObject): Promise<void> {
		const {api, records, log} = this.#parts;
		if (name !== this.#settings.name || records.readRetirement(value).isLeft()) {
			return;
		}

		const written = await api.update('Retirement', name, records.retirementDone, version);
		log.emit(gatewayEvents.retirementAnswered, {name, outcome: written.isRight() ? 'written' : 'not written'});
	}
}
