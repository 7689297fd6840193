/**
Cuts runs of items at replicas whose slots online calls need, now or at once: the only place at which a run yields to calls. Which runs yield is decided by the pure functions of `preemption.ts`.
*/
import type {Clock, EventLog, Metrics} from '../../common/services.js';
import {gatewayEvents} from '../log-events.js';
import type {Replica} from '../replica.js';
import type {MemberName} from '../types.js';
import type {RunEstimate} from './batch-policy.js';
import type {ItemState, JobRun} from './job-run.js';
import {chooseRuns, itemsToPreempt} from './preemption.js';
import type {WaveForecasts} from './wave-forecasts.js';
import {slotsAhead} from './wave-plan.js';

/** Dependencies of the preemptor. */
export type RunPreemptorParts = {
	readonly self: MemberName;
	readonly waves: Pick<WaveForecasts, 'of'>;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

const asRun = (state: ItemState) => ({
	state, events: state.events.length, timesCut: state.timesCut, sparedSince: state.sparedSince,
});

/** See the module's head. */
export class RunPreemptor {
	readonly #parts: RunPreemptorParts;
	readonly #runs: () => readonly JobRun[];
	readonly #estimate: () => RunEstimate;

	constructor(parts: RunPreemptorParts, runs: () => readonly JobRun[], estimate: () => RunEstimate) {
		this.#parts = parts;
		this.#runs = runs;
		this.#estimate = estimate;
	}

	/** Reviews the replicas with runs of this process at which waves are foreseen: slots become free there by time, not only by changes of load. */
	reviewForeseen(): void {
		const replicas = new Set(this.#runs().flatMap(run => run.running).flatMap(({run}) => run ? [run.replica] : []));
		[...replicas].filter(({record}) => this.#parts.waves.of(record.service)).forEach(replica => {
			this.review(replica);
		});
	}

	/** Cuts as many runs at a replica as online calls need slots there. */
	review(replica: Replica): void {
		const {self, waves, clock} = this.#parts;
		const forecast = waves.of(replica.record.service);
		const count = itemsToPreempt(replica, self, slotsAhead(replica, forecast));
		if (count === 0) {
			return;
		}

		const now = clock.now();
		const candidates = this.#runs().flatMap(jobRun => jobRun.running.filter(({run}) => run?.replica === replica).map(state => ({...asRun(state), job: jobRun.job?.id})));
		const {preempted, spared} = chooseRuns(candidates, count, {estimate: this.#estimate(), now, areWavesForeseen: forecast !== undefined});
		spared.forEach(({state}) => {
			state.sparedSince ??= now;
		});
		preempted.forEach(({state, job}) => {
			const {record, allOnline, total} = replica;
			const cause = total > record.slots ? 'calls' : 'foreseen';
			this.#parts.metrics.count('gateway.itemsCut', 1, {cause});
			this.#parts.log.emit(gatewayEvents.itemCut, {
				job, item: state.item.id, replica: record.id, cause, events: state.events.length, timesCut: state.timesCut, online: allOnline, slots: record.slots, msToRise: forecast && Math.round(forecast.msToRise), sureness: forecast?.sureness, ageMs: forecast && Math.round(forecast.ageMs),
			});
			state.timesCut += 1;
			state.run?.dispose();
		});
	}
}
