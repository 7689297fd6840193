/**
Reads resources together with what the system reports of them. Status is kept in objects of its own, so that a report never races with an operator's change; here both are put together again.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {AnyResource, BatchJob, ResourceStatus} from '../../typings/resources.js';
import {isStatusOfJob, type JobStatus} from '../common/batch-types.js';
import {type ObjectApi} from '../common/services.js';
import type {ApiError, ObjectKind, StoredObject} from '../common/types.js';
import {type Revision} from '../common/ids.js';
import {resourceKinds, type ResourceKind} from './resource-schemas.js';

/** A resource with its status, as `get -o json` prints it. */
export type ReadResource = AnyResource & {
	readonly status?: ResourceStatus & {readonly progress?: unknown};
};

/** Resources of one kind, by name, and the object API's version they were read at. */
export type ReadPage = {
	readonly resources: readonly ReadResource[];
	readonly version: Revision;
};

type Listed<T> = {readonly items: ReadonlyArray<StoredObject<T>>; readonly version: Revision};

/** The status of a resource of which no generation has been reported on. */
export const unreported: ResourceStatus = {observedGeneration: 0, conditions: []};

/** The progress that is kept under a resource's name, unless it speaks of an earlier job that had the same one. Both are shown as they are stored, well-formed or not. */
export const ownProgress = (resource: AnyResource, progress: unknown): unknown => {
	const {createdTime = ''} = (resource as Partial<BatchJob>).spec ?? {};
	return isStatusOfJob((progress ?? {}) as JobStatus, {createdTime}) ? progress : undefined;
};

const withStatus = (resource: AnyResource, status: ResourceStatus | undefined, kept: unknown): ReadResource => {
	const progress = ownProgress(resource, kept);
	const reported = status ?? (progress === undefined ? undefined : unreported);
	return reported === undefined ? resource : {...resource, status: {...reported, ...(progress !== undefined && {progress})}};
};

/** Reads resources and their status. */
export class ResourceReader {
	readonly #api: ObjectApi;

	/** @param api - Where the objects are. */
	constructor(api: ObjectApi) {
		this.#api = api;
	}

	/**
	@param kind - Its kind.
	@param name - Its name.
	@returns The resource; `notFound` when there is none. A status that is missing is left out.
	*/
	async read(kind: ResourceKind, name: string): Promise<Either<ApiError, ReadResource>> {
		const resource = await this.#api.get<AnyResource>(kind, name);
		if (resource.isLeft()) {
			return resource;
		}

		const [status, progress] = await Promise.all([
			this.#optional<ResourceStatus>('ResourceStatus', `${kind}/${name}`),
			kind === 'BatchJob' ? this.#optional<unknown>('JobStatus', name) : Right(undefined),
		]);
		return status.chain(known => progress.map(done => withStatus(resource.unsafeCoerce().value, known, done)));
	}

	/**
	@param kind - A kind.
	@returns All resources of the kind.
	*/
	async readAll(kind: ResourceKind): Promise<Either<ApiError, ReadPage>> {
		const resources = await this.#all<AnyResource>(kind);
		const statuses = await this.#all<ResourceStatus>('ResourceStatus', `${kind}/`);
		const progress: Either<ApiError, Listed<unknown>> = kind === 'BatchJob' ? await this.#all('JobStatus') : statuses.map(({version}) => ({items: [], version}));
		return resources.chain(({items, version}) => statuses.chain(known => progress.map(done => {
			const statusOf = new Map(known.items.map(object => [object.name, object.value]));
			const progressOf = new Map(done.items.map(object => [object.name, object.value]));
			return {
				version,
				resources: items.map(({name, value}) => withStatus(value, statusOf.get(`${kind}/${name}`), progressOf.get(name))),
			};
		})));
	}

	/** @returns How many resources there are of each kind. Values are not read. */
	async counts(): Promise<Either<ApiError, ReadonlyMap<ResourceKind, number>>> {
		const counts = new Map<ResourceKind, number>();
		for (const kind of resourceKinds) {
			const listed = await this.#all(kind, '', false);
			if (listed.isLeft()) {
				return listed;
			}

			counts.set(kind, listed.unsafeCoerce().items.length);
		}

		return Right(counts);
	}

	/** Page after page. The version is the first page's, so a watch from there misses no change made while the pages were read. */
	async #all<T>(kind: ObjectKind, prefix = '', values = true): Promise<Either<ApiError, Listed<T>>> {
		const items: Array<StoredObject<T>> = [];
		let version: Revision | undefined;
		for (;;) {
			const listed = await this.#api.list<T>(kind, {prefix, values, ...(items.length > 0 && {after: items.at(-1)?.name})});
			if (listed.isLeft()) {
				return listed;
			}

			const page = listed.unsafeCoerce();
			items.push(...page.items);
			version ??= page.version;
			if (!page.more) {
				return Right({items, version});
			}
		}
	}

	async #optional<T>(kind: ObjectKind, name: string): Promise<Either<ApiError, T | undefined>> {
		const read = await this.#api.get<T>(kind, name);
		if (read.isRight()) {
			return Right(read.extract().value);
		}

		const err = read.extract() as ApiError;
		return err.kind === 'notFound' ? Right(undefined) : Left(err);
	}
}
