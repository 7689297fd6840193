/**
Follows the resources of a kind and what is reported of them, through outages of the object API and gaps in its history.
*/
import {Right, type Either} from 'purify-ts/Either';
import type {AnyResource, ResourceStatus} from '../../typings/resources.js';
import {type Revision} from '../common/ids.js';
import type {Clock, ObjectApi} from '../common/services.js';
import type {
	ApiError, ObjectKind, WatchBatch, WatchEvent,
} from '../common/types.js';
import {
	ownProgress, ResourceReader, unreported, type ReadResource,
} from './resource-reader.js';
import {type ResourceKind} from './resource-schemas.js';

/** What has changed: a resource as it is now, or that it is gone. */
export type Sighting = {
	readonly type: 'put' | 'delete';
	readonly name: string;
	readonly resource?: ReadResource;
};

/** What a watcher needs. */
export type ResourceWatcherOptions = {
	readonly api: ObjectApi;
	readonly clock: Clock;
	readonly kind: ResourceKind;
	/** Watches just this one; all of the kind by default. */
	readonly name?: string;
	/** Receives what is there at first, and each change. */
	readonly onSighting: (sighting: Sighting) => void;
	/** Receives why nothing can be seen for now. */
	readonly onTrouble: (err: ApiError) => void;
};

/** One watch waits this long: each costs a call, whether something changes or not. */
const watchMs = 25_000;
const pauseMs = 1000;

const reported: Readonly<Partial<Record<ObjectKind, (resource: ReadResource, value: unknown) => ReadResource>>> = {
	ResourceStatus: (resource, value) => ({...resource, status: {...resource.status, ...value as ResourceStatus}}),
	JobStatus(resource, value) {
		const progress = ownProgress(resource, value);
		return progress === undefined ? resource : {...resource, status: {...unreported, ...resource.status, progress}};
	},
};

/** Watches until its signal aborts. */
export class ResourceWatcher {
	readonly #options: ResourceWatcherOptions;
	readonly #reader: ResourceReader;
	readonly #known = new Map<string, ReadResource>();

	constructor(options: ResourceWatcherOptions) {
		this.#options = options;
		this.#reader = new ResourceReader(options.api);
	}

	/** @param signal - Ends the watch. */
	async run(signal: AbortSignal): Promise<void> {
		let since: Revision | undefined;
		while (!signal.aborted) {
			const seen: Either<ApiError, Revision> = since === undefined ? await this.#list() : await this.#watch(since);
			// After a failure the next turn lists again, which finds what changed in the meantime, so nothing is missed for good.
			since = seen.isRight() ? seen.extract() : undefined;
			if (seen.isLeft() && seen.extract().kind !== 'expired') {
				this.#options.onTrouble(seen.extract());
				await this.#options.clock.sleep(pauseMs);
			}
		}
	}

	async #list(): Promise<Either<ApiError, Revision>> {
		const listed = await this.#reader.readAll(this.#options.kind);
		return listed.map(({resources, version}) => {
			const now = new Map(resources.filter(({metadata}) => this.#isWatched(metadata.name)).map(resource => [resource.metadata.name, resource]));
			[...this.#known.keys()].filter(name => !now.has(name)).forEach(name => {
				this.#lose(name);
			});
			now.forEach(resource => {
				this.#see(resource);
			});
			return version;
		});
	}

	async #watch(since: Revision): Promise<Either<ApiError, Revision>> {
		const {api, kind} = this.#options;
		const watched: Either<ApiError, WatchBatch> = await api.watch([kind, 'ResourceStatus', 'JobStatus'], since, watchMs);
		return watched.chain(({version, events}) => {
			events.forEach(event => {
				this.#take(event);
			});
			return Right(version);
		});
	}

	#take(event: WatchEvent): void {
		if (event.kind === this.#options.kind) {
			this.#takeResource(event);
			return;
		}

		const prefix = `${this.#options.kind}/`;
		const isJob = event.kind === 'JobStatus';
		const name = isJob ? event.name : event.name.slice(prefix.length);
		const resource = this.#known.get(name);
		const isOurs = isJob ? this.#options.kind === 'BatchJob' : event.name.startsWith(prefix);
		if (resource && isOurs && event.type === 'put') {
			this.#see(reported[event.kind]?.(resource, event.value) ?? resource);
		}
	}

	#takeResource({type, name, value}: WatchEvent): void {
		if (!this.#isWatched(name)) {
			return;
		}

		if (type === 'delete') {
			this.#lose(name);
			return;
		}

		this.#see({...value as AnyResource, status: this.#known.get(name)?.status});
	}

	#see(resource: ReadResource): void {
		const {name} = resource.metadata;
		if (JSON.stringify(this.#known.get(name)) !== JSON.stringify(resource)) {
			this.#known.set(name, resource);
			this.#options.onSighting({type: 'put', name, resource});
		}
	}

	#lose(name: string): void {
		if (this.#known.delete(name)) {
			this.#options.onSighting({type: 'delete', name});
		}
	}

	#isWatched(name: string): boolean {
		return this.#options.name === undefined || this.#options.name === name;
	}
}
