/**
The assignments that the placement writes for agents, and the orders that bring an engine from its loaded models to its assignment.
*/
import type {Fence, Revision} from './ids.js';

/** A model that an engine has loaded, or is to load. */
export type PlacedModel = {
	readonly model: string;
	/** The key of the weights in the weight store; engines name versions by it. */
	readonly version: string;
	readonly adapter?: string;
};

/** The models that one engine is to have loaded: kind `Assignment`, named after the VM. */
export type Assignment = {
	/** The fencing number of the placement's lease when this was written. */
	readonly fence: Fence;
	readonly models: readonly PlacedModel[];
	/** Models to be unloaded. A model in neither list is not managed by the placement. */
	readonly unload: readonly string[];
};

/** The holder of the placement's lease, and the assignments it had read when it took over: kind `Assignment`, named {@link placementEpochName}. */
export type PlacementEpoch = {
	readonly fence: Fence;
	/** The holder had read the assignments up to this version when it took over, whoever wrote them. */
	readonly knownUpTo: Revision;
};

/** The name of the placement's lease. */
export const placementLeaseName = 'placement';

/** The name of the epoch's object; no VM has this name. */
export const placementEpochName = '_epoch';

/** An order to an engine. */
export type ModelOrder = PlacedModel & {readonly order: 'load' | 'unload'};

const isSame = (a: PlacedModel, b: PlacedModel) => a.model === b.model && a.version === b.version && a.adapter === b.adapter;

/** Returns the orders that are still to be executed: loads first, so that a model is replaced before it is unloaded. */
export const ordersFor = (assignment: Assignment, loaded: readonly PlacedModel[]): readonly ModelOrder[] => {
	const loads = assignment.models.filter(wanted => !loaded.some(model => isSame(model, wanted)));
	const unloads = loaded.filter(({model}) => assignment.unload.includes(model));
	return [
		...loads.map((model): ModelOrder => ({...model, order: 'load'})),
		...unloads.map((model): ModelOrder => ({...model, order: 'unload'})),
	];
};

/**
Whether an assignment is still valid. A holder that was paused for longer than its lease may write one when it resumes; it carries the old fencing number, and its version is one that the new holder had not read when it took over.
*/
export const isCurrentAssignment = (assignment: Pick<Assignment, 'fence'>, version: Revision, epoch: PlacementEpoch): boolean => assignment.fence >= epoch.fence || version <= epoch.knownUpTo;
