/**
The configuration in force in this process: the part of the blackboard that the configuration controller writes and every request reads. Its version never decreases. An answer of the object API may overtake another or come from a lagging copy of the store, and callers must not see an older version in effect after a newer one.
*/
import {EventEmitter} from 'node:events';
import {AccountTable} from './accounts/account-table.js';
import type {
	ClientAccountName, GatewayConfig, GatewayService, GatewayServiceName, RateLimit,
} from './types.js';
import {RouteTable} from './route-table.js';

/** Holds the newest configuration that was received, with lookup tables derived from it. */
export class ConfigBoard {
	readonly #events = new EventEmitter();
	#config: GatewayConfig | undefined;
	#routes = new RouteTable({routes: []});
	#services: ReadonlyMap<GatewayServiceName, GatewayService> = new Map();
	#accounts: AccountTable | undefined;
	#rateLimits: ReadonlyMap<ClientAccountName, RateLimit | undefined> = new Map();

	/** `undefined` until the first configuration was received; until then, the process must not answer that a route does not exist. */
	get config(): GatewayConfig | undefined {
		return this.#config;
	}

	get routes(): RouteTable {
		return this.#routes;
	}

	/** `undefined` while operators have declared no accounts; calls need no key then. */
	get accounts(): AccountTable | undefined {
		return this.#accounts;
	}

	/** Whether jobs may be submitted, and therefore read, without a key. */
	get hasAnonymousJobs(): boolean {
		return this.#config?.routes.some(({kind, isAnonymous}) => kind === 'batch' && isAnonymous) ?? false;
	}

	rateLimit(account: ClientAccountName): RateLimit | undefined {
		return this.#rateLimits.get(account);
	}

	service(name: GatewayServiceName): GatewayService | undefined {
		return this.#services.get(name);
	}

	/** @returns Whether the configuration is newer than the current one, and therefore now in force. */
	applyIfNewer(config: GatewayConfig): boolean {
		if (this.#config && config.version <= this.#config.version) {
			return false;
		}

		this.#config = config;
		this.#routes = new RouteTable(config);
		this.#services = new Map(config.services.map(service => [service.name, service]));
		this.#accounts = config.accounts && new AccountTable(config.accounts);
		this.#rateLimits = new Map(config.accounts?.map(({name, rateLimit}) => [name, rateLimit]));
		this.#events.emit('change', config);
		return true;
	}

	/** Calls the listener with each configuration that comes into force. */
	onChange(listener: (config: GatewayConfig) => void): void {
		this.#events.on('change', listener);
	}
}
