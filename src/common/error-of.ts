/**
Extracts the error of an `Either`.
*/
import type {Either} from 'purify-ts/Either';

/** @returns The error; `undefined` for a success. */
export const errorOf = <L>(outcome: Either<L, unknown>): L | undefined => outcome.swap().toMaybe().extract();
