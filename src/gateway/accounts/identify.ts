/**
Resolves the account of a call by its API key.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {ClientAccount, PresentedKey} from '../types.js';
import type {AccountTable} from './account-table.js';

/** `missing`: the route needs a key. `unusable`: not one well-formed key. `unknown`: no account holds it. */
export type KeyRefusal = 'missing' | 'unusable' | 'unknown';

type Decisions = {readonly [K in PresentedKey['kind']]: (table: AccountTable, presented: Extract<PresentedKey, {kind: K}>, mayBeAnonymous: boolean) => Either<KeyRefusal, ClientAccount | undefined>};

const decisions: Decisions = {
	none: (_table, _presented, mayBeAnonymous) => mayBeAnonymous ? Right(undefined) : Left('missing'),
	unusable: () => Left('unusable'),
	key(table, {key}) {
		const account = table.holderOf(key);
		return account ? Right(account) : Left('unknown');
	},
};

/**
An invalid key is rejected on anonymous routes too: its caller expects to be authenticated, and would otherwise be served anonymously without noticing.

@param mayBeAnonymous - Whether the route takes calls without a key.
@returns The account, or `undefined` for an anonymous call.
*/
export const identify = (table: AccountTable, presented: PresentedKey, mayBeAnonymous: boolean): Either<KeyRefusal, ClientAccount | undefined> =>
	(decisions[presented.kind] as (table: AccountTable, presented: PresentedKey, mayBeAnonymous: boolean) => Either<KeyRefusal, ClientAccount | undefined>)(table, presented, mayBeAnonymous);
