/**
The configuration that this process acts on: the part of the blackboard that the configuration's follower writes and every request reads. It never goes back: an answer of the object API may overtake another or come from a copy that lags, and a caller must not see an older version act after a newer one has.
*/
import {EventEmitter} from 'node:events';
import {AccountTable} from './accounts/account-table.js';
import type {
	ClientAccountName, GatewayConfig, GatewayService, GatewayServiceName, RateLimit,
} from './types.js';
import {RouteTable} from './route-table.js';

/** Holds the newest configuration that was seen. */
export class ConfigBoard {
	readonly #events = new EventEmitter();
	#config: GatewayConfig | undefined;
	#routes = new RouteTable({routes: []});
	#services: ReadonlyMap<GatewayServiceName, GatewayService> = new Map();
	#accounts: AccountTable | undefined;
	#rateLimits: ReadonlyMap<ClientAccountName, RateLimit | undefined> = new Map();

	/** `undefined` until the first configuration has come: such a process must not say that a route does not exist. */
	get config(): GatewayConfig | undefined {
		return this.#config;
	}

	get routes(): RouteTable {
		return this.#routes;
	}

	/** `undefined` while operators have declared no accounts: calls need no key then. */
	get accounts(): AccountTable | undefined {
		return this.#accounts;
	}

	/** Whether jobs may be submitted, and so be read, without a key. */
	get hasAnonymousJobs(): boolean {
		return this.#config?.routes.some(({kind, isAnonymous}) => kind === 'batch' && isAnonymous) ?? false;
	}

	rateLimit(account: ClientAccountName): RateLimit | undefined {
		return this.#rateLimits.get(account);
	}

	service(name: GatewayServiceName): GatewayService | undefined {
		return this.#services.get(name);
	}

	/** @returns Whether it is newer than what was known, and so in force now. */
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

	/** Calls the listener with each configuration as it comes in force. */
	onChange(listener: (config: GatewayConfig) => void): void {
		this.#events.on('change', listener);
	}
}
