/**
Changes resources so that nobody's change is lost: each write is conditional on the version that was read, and carries an id by which the writer recognises its own change when the answer to it was lost.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {type AnyResource} from '../../typings/resources.js';
import type {Clock, ObjectApi, RandomSource} from '../common/services.js';
import type {ApiError, StoredObject} from '../common/types.js';
import {exitCodes} from '../io/exit-codes.js';
import {ctlError, fromApiError, type CtlError} from './ctl-error.js';
import {differences} from './differences.js';
import {type ResourceKind} from './resource-schemas.js';
import {refusalOf} from './write-rules.js';

/** What a write did. */
export type WriteOutcome = 'created' | 'configured' | 'unchanged' | 'deleted';

/** What a writer needs. */
export type ResourceWriterOptions = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Makes an id that no other change has. */
	readonly newChangeId: () => string;
};

type Stored = StoredObject<AnyResource>;
type Result = Either<CtlError, WriteOutcome>;

/** Tries of one write, and the longest pause before each further one. */
const maxTries = 5;
const pauseMs = 200;

const titleOf = ({kind, metadata}: AnyResource): string => `${kind} ${metadata.name}`;

const conflict = (title: string, seen: AnyResource | undefined, now: AnyResource | undefined): CtlError => ctlError(
	exitCodes.tryAgain,
	`${title}: somebody else changed it meanwhile; nothing was written. What differs between what was read and what is there now:`,
	...differences(seen, now).map(line => `  ${line}`),
);

/** Applies and deletes resources. */
export class ResourceWriter {
	readonly #api: ObjectApi;
	readonly #clock: Clock;
	readonly #random: RandomSource;
	readonly #newChangeId: () => string;

	constructor({api, clock, random, newChangeId}: ResourceWriterOptions) {
		this.#api = api;
		this.#clock = clock;
		this.#random = random;
		this.#newChangeId = newChangeId;
	}

	/**
	Makes a resource read as it stands in a file. When the file names a generation, the change is meant for just that one.

	@param wanted - The resource, checked.
	@returns What was done; `unchanged` when its spec is there already. Exit code 75 when another change came between.
	*/
	async apply(wanted: AnyResource): Promise<Result> {
		const title = titleOf(wanted);
		const read = await this.#read(wanted.kind, wanted.metadata.name);
		if (read.isLeft()) {
			return Left(fromApiError(read.extract(), title));
		}

		const seen = read.unsafeCoerce();
		const refusal = refusalOf(wanted, seen?.value);
		return refusal === undefined
			? this.#applyOver(wanted, seen)
			: Left(refusal);
	}

	/**
	Deletes a resource as it was read, and not a newer one.

	@param kind - Its kind.
	@param name - Its name.
	*/
	async remove(kind: ResourceKind, name: string): Promise<Result> {
		const title = `${kind} ${name}`;
		const read = await this.#api.get<AnyResource>(kind, name);
		if (read.isLeft()) {
			return Left(fromApiError(read.extract(), title));
		}

		return this.#removeTry(title, read.unsafeCoerce(), 1);
	}

	async #applyOver(wanted: AnyResource, seen: Stored | undefined): Promise<Result> {
		if (seen && differences(seen.value.spec, wanted.spec).length === 0) {
			return Right('unchanged');
		}

		const generation = (seen?.value.metadata.generation ?? 0) + 1;
		const changeId = this.#newChangeId();
		const next: AnyResource = {...wanted, metadata: {name: wanted.metadata.name, generation, changeId}};
		return this.#writeTry(next, seen, 1);
	}

	/** Each try writes the same change under the same condition, so a try that did take effect unseen cannot be doubled by the next. */
	async #writeTry(next: AnyResource, seen: Stored | undefined, tries: number): Promise<Result> {
		const {kind, metadata} = next;
		const written = await (seen
			? this.#api.update(kind, metadata.name, next, seen.version)
			: this.#api.create(kind, metadata.name, next));
		const outcome = seen ? 'configured' : 'created';
		return written.isRight() ? Right(outcome) : this.#settle(written.extract() as ApiError, {next, seen, tries});
	}

	async #settle(err: ApiError, write: {next: AnyResource; seen: Stored | undefined; tries: number}): Promise<Result> {
		const {next, seen, tries} = write;
		if (err.kind === 'tooLarge') {
			return Left(fromApiError(err, titleOf(next)));
		}

		if (err.kind === 'unavailable') {
			return this.#again(err, next, tries, async () => this.#writeTry(next, seen, tries + 1));
		}

		// After a lost answer, and on a conflict that may be with an earlier try of this very change, only the object tells.
		const read = await this.#read(next.kind, next.metadata.name);
		if (read.isLeft()) {
			return this.#again(err, next, tries, async () => this.#settle(err, {...write, tries: tries + 1}));
		}

		const now = read.unsafeCoerce();
		if (now?.value.metadata.changeId === next.metadata.changeId) {
			return Right(seen ? 'configured' : 'created');
		}

		if (now?.version !== seen?.version) {
			return Left(conflict(titleOf(next), seen?.value, now?.value));
		}

		return this.#again(err, next, tries, async () => this.#writeTry(next, seen, tries + 1));
	}

	async #removeTry(title: string, seen: Stored, tries: number): Promise<Result> {
		const removed = await this.#api.remove(seen.kind, seen.name, seen.version);
		if (removed.isRight()) {
			return Right('deleted');
		}

		const err = removed.extract() as ApiError;
		if (err.kind === 'unavailable') {
			return this.#again(err, seen.value, tries, async () => this.#removeTry(title, seen, tries + 1));
		}

		return this.#settleRemoval(err, title, seen, tries);
	}

	/** Gone after a lost answer means that the deletion took effect, or that another's did: either way it is what was asked for. */
	async #settleRemoval(err: ApiError, title: string, seen: Stored, tries: number): Promise<Result> {
		const read = await this.#read(seen.value.kind, seen.name);
		if (read.isLeft()) {
			return this.#again(err, seen.value, tries, async () => this.#settleRemoval(err, title, seen, tries + 1));
		}

		const now = read.unsafeCoerce();
		if (now === undefined) {
			return Right('deleted');
		}

		return now.version === seen.version
			? this.#again(err, seen.value, tries, async () => this.#removeTry(title, seen, tries + 1))
			: Left(conflict(title, seen.value, now.value));
	}

	async #again(err: ApiError, resource: AnyResource, tries: number, next: () => Promise<Result>): Promise<Result> {
		if (tries >= maxTries) {
			return Left(fromApiError(err, titleOf(resource)));
		}

		await this.#clock.sleep(this.#random.next() * pauseMs * (2 ** tries));
		return next();
	}

	async #read(kind: ResourceKind, name: string): Promise<Either<ApiError, Stored | undefined>> {
		const read = await this.#api.get<AnyResource>(kind, name);
		return read.isLeft() && read.extract().kind === 'notFound' ? Right(undefined) : read;
	}
}
