/**
Which client account a request belongs to, by its API key, and how much each account has under way at this entry.
*/
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {ClientAccount} from '../../typings/resources.js';
import type {ConfigTable} from '../common/config-table.js';
import {branded, type AccountName} from '../common/ids.js';
import type {Disposable} from '../common/services.js';
import {
	invalidRequest, tooMany, unavailable, type ApiError,
} from './api-error.js';

/** A known account. */
export type Account = {
	readonly name: AccountName;
	readonly share: number;
	readonly maxInFlight: number;
};

const defaultShare = 1;
const defaultMaxInFlight = 1000;
const configWaitMs = 1000;
const fullWaitMs = 1000;

/** The SHA-256 of an API key, in hex. */
export const keyHash = (key: string) => createHash('sha256').update(key).digest('hex');

/** Finds accounts by key and counts their requests. */
export class Accounts implements Disposable {
	readonly #config: ConfigTable;
	readonly #byKey = new Map<string, Account>();
	readonly #hashes = new Map<string, readonly string[]>();
	readonly #inFlight = new Map<AccountName, number>();
	readonly #stop: () => void;

	constructor(config: ConfigTable) {
		this.#config = config;
		this.#stop = config.onChange(event => {
			if (event.kind === 'ClientAccount') {
				this.#index(event);
			}
		});
		config.list<ClientAccount>('ClientAccount').forEach(stored => {
			this.#index(stored);
		});
	}

	/** The account of a request, or the error for its caller. */
	identify(req: IncomingMessage): Either<ApiError, Account> {
		if (this.#config.revision === 0) {
			return Left(unavailable('this entry has no configuration yet', configWaitMs));
		}

		const key = /^Bearer (?<key>.+)$/v.exec(req.headers.authorization ?? '')?.groups?.key;
		const account = key === undefined ? undefined : this.#byKey.get(keyHash(key));
		return account ? Right(account) : Left(invalidRequest('unknown API key', {status: 401, code: 'invalid_api_key'}));
	}

	/** Counts a request of the account; `Left` when it has too many under way. Call the returned function at its end. */
	begin(account: Account): Either<ApiError, () => void> {
		const count = this.#inFlight.get(account.name) ?? 0;
		if (count >= account.maxInFlight) {
			return Left(tooMany(`account ${account.name} has ${count} requests under way, its limit`, fullWaitMs));
		}

		this.#inFlight.set(account.name, count + 1);
		return Right(() => {
			this.#end(account.name);
		});
	}

	dispose(): void {
		this.#stop();
	}

	#end(name: AccountName) {
		const count = (this.#inFlight.get(name) ?? 1) - 1;
		if (count === 0) {
			this.#inFlight.delete(name);
			return;
		}

		this.#inFlight.set(name, count);
	}

	// One account at a time: reading all of them anew for each change would cost the square of their number at the start.
	#index({name, value}: {readonly name: string; readonly value?: unknown}) {
		// A key may have moved to another account in the meantime.
		this.#hashes.get(name)?.filter(hash => this.#byKey.get(hash)?.name === name).forEach(hash => {
			this.#byKey.delete(hash);
		});
		this.#hashes.delete(name);
		const account = value as ClientAccount | undefined;
		if (!account) {
			return;
		}

		const {share = defaultShare, maxInFlight = defaultMaxInFlight, keySha256} = account.spec;
		this.#hashes.set(name, keySha256);
		keySha256.forEach(hash => {
			this.#byKey.set(hash, {name: branded(name), share, maxInFlight});
		});
	}
}
