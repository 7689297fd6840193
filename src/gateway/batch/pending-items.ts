/**
The items of a job that wait for a slot, with what decides on their turn: by which route they are sent, when they are due, at which replicas they have failed. Items that can never be sent again are given up here.
*/
import {Buffer} from 'node:buffer';
import {TrackedItem, type TrackedItemParts} from '../quarantine/tracked-item.js';
import type {CallDialect} from '../types.js';
import type {BatchJob} from './batch-job.js';
import type {FailedRuns} from './failed-runs.js';
import {itemMethod} from './item-run.js';
import type {JobRoutePolicy} from './job-route-policy.js';
import type {ItemState, JobRun} from './job-run.js';
import type {SlotRequest} from './slot-finder.js';

/** An item that waits for a slot. */
export type PendingItem = SlotRequest & {
	readonly run: JobRun;
	readonly job: BatchJob;
	readonly state: ItemState;
};

/** Dependencies of the search. */
export type PendingItemsParts = TrackedItemParts & {
	readonly failedRuns: FailedRuns;
	readonly dialect: CallDialect;
};

const track = (parts: PendingItemsParts, {record}: BatchJob, state: ItemState): TrackedItem => {
	const {path, body, headers} = state.item;
	state.tracked ??= new TrackedItem(parts, {
		content: {
			host: record.host, method: itemMethod, target: path, body: Buffer.from(body, 'base64'),
		},
		promptParts: () => parts.dialect.readCall(Object.fromEntries(headers.map(([name, value]) => [name.toLowerCase(), value]))).promptParts,
	});
	return state.tracked;
};

/** @returns The items of the job that may be sent now. */
export const pendingItemsOf = (run: JobRun, routePolicy: JobRoutePolicy, parts: PendingItemsParts): PendingItem[] => {
	const {job} = run;
	if (!job?.isOpen) {
		return [];
	}

	const route = routePolicy.routeOf(job);
	if (route ? routePolicy.isExpired(job, route) : routePolicy.hasLostRoute(job)) {
		run.giveUpAll();
		return [];
	}

	if (!route) {
		return [];
	}

	run.giveUpFailed(route);
	const dueAt = routePolicy.dueAt(job);
	return run.waiting().filter(state => track(parts, job, state).canBeSent).map(state => ({
		run, job, route, state, dueAt, account: job.record.account, events: state.events.length, failedReplicas: new Set(parts.failedRuns.of(state.item.id).map(({replica}) => replica)), softwareVersion: state.events.length > 0 ? state.softwareVersion : undefined, needsNewConnection: state.lastEnd === 'broken',
	}));
};
