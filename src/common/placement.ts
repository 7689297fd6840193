/**
What the placement tells an agent, and how the agent comes from what its engine has loaded to that.
*/
import type {Fence, Revision} from './ids.js';

/** A model as an engine has it, or is to have it. */
export type PlacedModel = {
	readonly model: string;
	/** The key of the weights in the weight store; engines name versions by it. */
	readonly version: string;
	readonly adapter?: string;
};

/** What one engine is to have loaded: kind `Assignment`, named after the VM. */
export type Assignment = {
	/** The fencing number of the placement's lease when this was written. */
	readonly fence: Fence;
	readonly models: readonly PlacedModel[];
	/** Models to be unloaded. One that is in neither list is none of the placement's business. */
	readonly unload: readonly string[];
};

/** Who holds the placement, and what it knew when it began: kind `Assignment`, named {@link placementEpochName}. */
export type PlacementEpoch = {
	readonly fence: Fence;
	/** Assignments up to this version were known to the holder when it took over, whoever wrote them. */
	readonly knownUpTo: Revision;
};

/** The placement's lease. */
export const placementLeaseName = 'placement';

/** The epoch's name; no VM is called so. */
export const placementEpochName = '_epoch';

/** An order to an engine. */
export type ModelOrder = PlacedModel & {readonly order: 'load' | 'unload'};

const isSame = (a: PlacedModel, b: PlacedModel) => a.model === b.model && a.version === b.version && a.adapter === b.adapter;

/** The orders that are left to give: loads first, so that what leaves has been replaced. */
export const ordersFor = (assignment: Assignment, loaded: readonly PlacedModel[]): readonly ModelOrder[] => {
	const loads = assignment.models.filter(wanted => !loaded.some(model => isSame(model, wanted)));
	const unloads = loaded.filter(({model}) => assignment.unload.includes(model));
	return [
		...loads.map((model): ModelOrder => ({...model, order: 'load'})),
		...unloads.map((model): ModelOrder => ({...model, order: 'unload'})),
	];
};

/**
Whether an assignment still counts. A holder that was paused past its lease may write one when it wakes up; it carries the old number, and its version is one that the new holder had not seen when it began.
*/
export const isCurrentAssignment = (assignment: Pick<Assignment, 'fence'>, version: Revision, epoch: PlacementEpoch): boolean => assignment.fence >= epoch.fence || version <= epoch.knownUpTo;
