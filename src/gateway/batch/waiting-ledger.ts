/**
Sums of waiting tokens by route and account, kept up to date by differences: a process that reads thousands of jobs judges each by the sum of those before it.
*/
import type {ClientAccountName} from '../types.js';
import type {JobRecord} from './batch-records.js';

/** Whose tokens they are. Jobs without an account share one limit. */
export type TokenOwner = Pick<JobRecord, 'route' | 'account'>;

/** See the module's head. */
export class WaitingLedger {
	readonly #tokens = new Map<string, Map<ClientAccountName | undefined, number>>();

	/** Tokens that wait. */
	of({route, account}: TokenOwner): number {
		return this.#tokens.get(route)?.get(account) ?? 0;
	}

	/** @param tokens - Negative for tokens that no longer wait. */
	add({route, account}: TokenOwner, tokens: number): void {
		if (tokens === 0) {
			return;
		}

		const byAccount = this.#tokens.get(route) ?? new Map<ClientAccountName | undefined, number>();
		byAccount.set(account, this.of({route, account}) + tokens);
		this.#tokens.set(route, byAccount);
	}

	clear(): void {
		this.#tokens.clear();
	}
}
