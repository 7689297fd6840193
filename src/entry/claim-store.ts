/**
Claims in the object API. Every change is conditional, and a change whose answer was lost is told from another writer's by the token of its writer.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {ClaimValue} from '../common/claim.js';
import type {ObjectApi} from '../common/services.js';
import type {ApiError, StoredObject} from '../common/types.js';

/** A claim with its version. */
export type StoredClaim = StoredObject<ClaimValue>;

/** Why a claim is not ours: somebody else's stands, or the object API can not tell. */
export type ClaimFailure
	= | {readonly kind: 'taken'; readonly claim: StoredClaim}
		| {readonly kind: 'unavailable'; readonly reason: string};

type Written = Either<ApiError, StoredClaim>;

const maxTries = 3;

const reasonOf = (err: ApiError) => 'reason' in err ? err.reason : err.kind;
const isSameWrite = (a: ClaimValue, b: ClaimValue) => a.writer === b.writer && a.attempt.id === b.attempt.id && a.attempt.attempt === b.attempt.attempt;

/** Takes, moves and ends claims. */
export class ClaimStore {
	readonly #api: ObjectApi;

	constructor(api: ObjectApi) {
		this.#api = api;
	}

	async read(name: string): Promise<Either<ApiError, StoredClaim>> {
		return this.#api.get<ClaimValue>('Claim', name);
	}

	/** Creates a claim, before its request is run for the first time. */
	async take(name: string, value: ClaimValue): Promise<Either<ClaimFailure, StoredClaim>> {
		return this.#write(name, value, async () => this.#api.create('Claim', name, value));
	}

	/** Changes a claim as it was read or written, before its request goes to another replica. */
	async move(claim: StoredClaim, value: ClaimValue): Promise<Either<ClaimFailure, StoredClaim>> {
		return this.#write(claim.name, value, async () => this.#api.update('Claim', claim.name, value, claim.version));
	}

	/** Records how the request ended. A claim that stays without its end is still right: whoever finds it asks the agent. */
	async end(claim: StoredClaim, end: ClaimValue['end']): Promise<boolean> {
		const value = {...claim.value, end};
		const written = await this.#write(claim.name, value, async () => this.#api.update('Claim', claim.name, value, claim.version));
		return written.isRight();
	}

	/** Removes the claim of a request that was certainly not run. */
	async release(claim: StoredClaim): Promise<void> {
		await this.#api.remove('Claim', claim.name, claim.version);
	}

	// The answer may be lost after the change took effect: only the object itself then tells. An object that is not there yet may still come, so the change is made again under its condition.
	async #write(name: string, value: ClaimValue, change: () => Promise<Written>, triesLeft = maxTries): Promise<Either<ClaimFailure, StoredClaim>> {
		const written = await change();
		if (written.isRight()) {
			return Right(written.extract());
		}

		const err = written.extract() as ApiError;
		if (err.kind === 'conflict') {
			return this.#whose(name, value, err.current as StoredClaim | undefined);
		}

		if (err.kind === 'unknown' && triesLeft > 1) {
			return this.#write(name, value, change, triesLeft - 1);
		}

		return Left({kind: 'unavailable', reason: reasonOf(err)});
	}

	async #whose(name: string, value: ClaimValue, current: StoredClaim | undefined): Promise<Either<ClaimFailure, StoredClaim>> {
		const known: Either<ApiError, StoredClaim> = current ? Right(current) : await this.read(name);
		return known
			.mapLeft((err): ClaimFailure => ({kind: 'unavailable', reason: reasonOf(err)}))
			.chain(claim => isSameWrite(claim.value, value) ? Right(claim) : Left({kind: 'taken', claim}));
	}
}
