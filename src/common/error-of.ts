/**
Reads the failure of an outcome.
*/
import type {Either} from 'purify-ts/Either';

/** @returns The failure; `undefined` for a success. */
export const errorOf = <L>(outcome: Either<L, unknown>): L | undefined => outcome.swap().toMaybe().extract();
