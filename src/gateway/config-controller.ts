/**
Copies the operators' configuration from the object API to the blackboard, and logs which version is in force and what of it cannot be read. A configuration that cannot be read leaves the previous one in force.
*/
import type {EventLog} from '../common/services.js';
import type {ConfigBoard} from './config-board.js';
import {gatewayEvents} from './log-events.js';
import type {ObjectFeed} from './object-feed.js';
import type {RecordReaders} from './record-readers.js';
import type {GatewayConfig} from './types.js';

/** Dependencies of the controller. */
export type ConfigControllerParts = {
	readonly board: ConfigBoard;
	readonly feed: ObjectFeed;
	readonly records: RecordReaders;
	readonly log: EventLog;
};

/** Subscribes to the feed on construction. */
export class ConfigController {
	readonly #parts: ConfigControllerParts;

	constructor(parts: ConfigControllerParts) {
		this.#parts = parts;
		parts.feed.onSnapshot(items => {
			items.forEach(({name, value}) => {
				this.#apply(name, value);
			});
		});
		parts.feed.onChanges(events => {
			events.filter(({type}) => type === 'put').forEach(({name, value}) => {
				this.#apply(name, value);
			});
		});
	}

	#apply(name: string, value: unknown) {
		const {board, records, log} = this.#parts;
		if (name !== records.configName) {
			return;
		}

		records.readConfig(value)
			.ifLeft(reason => {
				log.emit(gatewayEvents.configUnreadable, {name, reason});
			})
			.ifRight(config => {
				if (board.applyIfNewer(config)) {
					log.emit(gatewayEvents.configInForce, {
						version: config.version, routes: config.routes.length, services: config.services.length, accounts: config.accounts?.length,
					});
					this.#reportAccounts(config);
				}
			});
	}

	#reportAccounts({version, unreadableAccounts = []}: GatewayConfig) {
		const {board, log} = this.#parts;
		unreadableAccounts.forEach(({name, reason}) => {
			log.emit(gatewayEvents.accountUnreadable, {account: name, version, reason});
		});
		board.accounts?.conflicts.forEach(account => {
			log.emit(gatewayEvents.accountUnreadable, {account, version, reason: 'it shares a key with another account; the key is refused'});
		});
	}
}
