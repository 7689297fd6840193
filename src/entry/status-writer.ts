/**
Writes what the system reports of a resource. Several controllers report on one resource, each its own conditions; a report changes those alone and never meets an operator's change, because status is an object of its own.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {Condition, ResourceStatus} from '../../typings/resources.js';
import type {Revision} from '../common/ids.js';
import type {Clock, ObjectApi} from '../common/services.js';
import type {ApiError, ObjectKind, StoredObject} from '../common/types.js';

/** A condition as a controller reports it; the writer adds when it last changed. */
export type ReportedCondition = Omit<Condition, 'lastTransitionTime'>;

/** A controller's report. */
export type StatusReport = {
	readonly observedGeneration: number;
	readonly conditions: readonly ReportedCondition[];
	readonly nodesInForce?: number;
	readonly nodesKnown?: number;
};

type Known = StoredObject<ResourceStatus>;

const tries = 3;

/** The name of a resource's status object. */
export const statusName = (kind: ObjectKind, name: string) => `${kind}/${name}`;

const withTimes = (reported: readonly ReportedCondition[], before: readonly Condition[], now: string): Condition[] => reported.map(condition => {
	const old = before.find(({type}) => type === condition.type);
	return {...condition, lastTransitionTime: old?.status === condition.status ? old.lastTransitionTime : now};
});

const outdated = (condition: Condition, now: string): Condition => condition.status === 'Unknown'
	? condition
	: {
		...condition, status: 'Unknown', reason: 'NewGeneration', message: 'nothing has been reported of this generation yet', lastTransitionTime: now,
	};

const merged = (report: StatusReport, before: ResourceStatus | undefined, now: string): ResourceStatus => {
	const generation = Math.max(report.observedGeneration, before?.observedGeneration ?? 0);
	// What was said of an older generation says nothing of this one.
	const conditions = before && before.observedGeneration < generation ? before.conditions.map(condition => outdated(condition, now)) : before?.conditions ?? [];
	const types = new Set(report.conditions.map(({type}) => type));
	return {
		...before, ...report, observedGeneration: generation, conditions: [...conditions.filter(({type}) => !types.has(type)), ...withTimes(report.conditions, conditions, now)],
	};
};

/** Writes statuses; remembers their versions, so that a report is one call as a rule. */
export class StatusWriter {
	readonly #api: ObjectApi;
	readonly #clock: Clock;
	readonly #known = new Map<string, Known>();

	constructor(api: ObjectApi, clock: Clock) {
		this.#api = api;
		this.#clock = clock;
	}

	/** Reads all statuses, in place of one by one. */
	async readAll(): Promise<Either<ApiError, readonly Known[]>> {
		const found: Known[] = [];
		let more = true;
		while (more) {
			const page = await this.#api.list<ResourceStatus>('ResourceStatus', {after: found.at(-1)?.name});
			if (page.isLeft()) {
				return Left(page.extract());
			}

			const {items, more: isMore} = page.unsafeCoerce();
			found.push(...items);
			more = isMore;
		}

		this.#known.clear();
		found.forEach(stored => {
			this.#known.set(stored.name, stored);
		});
		return Right(found);
	}

	/** Puts a report in place of the conditions of the same types. */
	async write(kind: ObjectKind, name: string, report: StatusReport): Promise<Either<ApiError, Known>> {
		const key = statusName(kind, name);
		let outcome = await this.#writeOnce(key, report);
		for (let left = tries - 1; left > 0 && outcome.isLeft() && (outcome.extract()).kind === 'conflict'; left -= 1) {
			outcome = await this.#writeOnce(key, report);
		}

		return outcome.ifRight(stored => this.#known.set(key, stored));
	}

	/** Removes the status of a resource that was deleted. */
	async remove(kind: ObjectKind, name: string): Promise<Either<ApiError, Revision>> {
		this.#known.delete(statusName(kind, name));
		return this.#api.remove('ResourceStatus', statusName(kind, name));
	}

	async #writeOnce(key: string, report: StatusReport): Promise<Either<ApiError, Known>> {
		const known = this.#known.get(key);
		const status = merged(report, known?.value, new Date(this.#clock.wall()).toISOString());
		const written = known
			? await this.#api.update('ResourceStatus', key, status, known.version)
			: await this.#api.create('ResourceStatus', key, status);
		if (written.isLeft()) {
			await this.#learn(key, written.extract());
		}

		return written;
	}

	// After a conflict another controller's report is the base; after an unknown outcome our own may be. Reading it anew settles both.
	async #learn(key: string, err: ApiError) {
		this.#known.delete(key);
		if (err.kind === 'conflict' || err.kind === 'unknown') {
			const current = await this.#api.get<ResourceStatus>('ResourceStatus', key);
			current.ifRight(stored => this.#known.set(key, stored));
		}
	}
}
