/**
The client accounts of one version of the configuration, by API key. The table is immutable; another version of the configuration has a table of its own.
*/
import type {ClientAccount, ClientAccountName} from '../types.js';

/** See the module's head. */
export class AccountTable {
	/** Accounts that share a key with another one. The key identifies neither, and is rejected. */
	readonly conflicts: readonly ClientAccountName[];
	readonly #byKey: ReadonlyMap<string, ClientAccount>;

	constructor(accounts: readonly ClientAccount[]) {
		const byKey = new Map<string, ClientAccount>();
		const shared = new Set<string>();
		const conflicts = new Set<ClientAccountName>();
		accounts.forEach(account => {
			account.accountKeys.forEach(key => {
				const holder = byKey.get(key);
				if (holder && holder.name !== account.name) {
					shared.add(key);
					conflicts.add(holder.name).add(account.name);
				}

				byKey.set(key, account);
			});
		});
		shared.forEach(key => {
			byKey.delete(key);
		});
		this.conflicts = [...conflicts];
		this.#byKey = byKey;
	}

	/** The account that holds the key. */
	holderOf(key: string): ClientAccount | undefined {
		return this.#byKey.get(key);
	}
}
