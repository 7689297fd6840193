/**
Applies the current configuration to jobs that were accepted under an older one: by which route their items are sent now, when they are due, and whether they are to be given up.
*/
import type {Clock} from '../../common/services.js';
import type {ConfigBoard} from '../config-board.js';
import type {BatchJobId, GatewayRoute} from '../types.js';
import type {BatchJob} from './batch-job.js';

/** A route that is missing from the configuration for this long, in milliseconds, counts as removed; its items will not be run. */
const routeRemovalMs = 3000;

/** The wall clocks of two processes may differ by this much, in milliseconds; an item is given up only once its time is over on every clock. */
const maxClockSkewMs = 5000;

/** See the module's head. */
export class JobRoutePolicy {
	readonly #board: ConfigBoard;
	readonly #clock: Clock;
	readonly #routeMissingSince = new Map<BatchJobId, number>();

	constructor(board: ConfigBoard, clock: Clock) {
		this.#board = board;
		this.#clock = clock;
	}

	/** The route by which the job's items are sent; an operator may have moved it to another service. */
	routeOf({id, record}: BatchJob): GatewayRoute | undefined {
		const {routes} = this.#board;
		const named = routes.named(record.route);
		const route = named && routes.match(record.host, record.target) === named ? named : undefined;
		if (route) {
			this.#routeMissingSince.delete(id);
		}

		return route;
	}

	/** Whether the job has been without a route for so long that the route counts as removed. To be called when `routeOf` finds none. */
	hasLostRoute({id}: BatchJob): boolean {
		if (!this.#board.config) {
			return false;
		}

		const since = this.#routeMissingSince.get(id) ?? this.#clock.now();
		this.#routeMissingSince.set(id, since);
		return this.#clock.now() - since > routeRemovalMs;
	}

	/** Whether items of the job are to be given up. */
	isExpired({record}: BatchJob, {batch}: GatewayRoute): boolean {
		return this.#clock.wall() > record.submittedAt + (batch?.giveUpMs ?? Infinity) + maxClockSkewMs;
	}

	/** When the job's results are due, in milliseconds of the wall clock. */
	dueAt({record}: BatchJob): number {
		return record.submittedAt + (this.#board.routes.named(record.route)?.batch?.dueMs ?? 0);
	}

	/** Discards the state of a job that is no longer run here. */
	discard(id: BatchJobId): void {
		this.#routeMissingSince.delete(id);
	}
}
