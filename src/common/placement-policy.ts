/**
Decides which engine gets which models and versions. Pure and level-triggered: each call takes the current state and moves it one step towards the desired state, never below the replicas that must stay ready.
*/
import type {PlacedModel} from './placement.js';
import {rankMembers} from './rendezvous.js';

/** A model's desired state, as operators set it. */
export type DesiredModel = PlacedModel & {
	/** Default: every server that is allowed to have it. */
	readonly replicas?: number;
	/** Default: one less than the replicas. */
	readonly minReady?: number;
};

/** The current state of an engine. */
export type PlacementServer = {
	readonly vm: string;
	readonly failureDomain: string;
	/** Models that may be placed here. */
	readonly allowed: readonly string[];
	/** The models it has loaded; undefined while unknown. */
	readonly loaded: readonly PlacedModel[] | undefined;
	/** The models assigned to it; undefined before the first assignment. */
	readonly assigned: readonly PlacedModel[] | undefined;
};

/** The assignment of one engine. */
export type PlacementChoice = {
	readonly vm: string;
	readonly models: readonly PlacedModel[];
	readonly unload: readonly string[];
};

/** The progress of a model's placement. */
export type ModelProgress = {
	readonly model: string;
	/** Target number of replicas: those desired, or as many as there are servers for. */
	readonly target: number;
	readonly minReady: number;
	/** Chosen servers that have any version. */
	readonly ready: number;
	/** Chosen servers that have the desired version. */
	readonly rolledOut: number;
	/** Servers chosen, and the next best ones. */
	readonly chosen: readonly string[];
	readonly runnersUp: readonly string[];
};

/** The step to take. */
export type Placement = {
	readonly choices: readonly PlacementChoice[];
	readonly progress: readonly ModelProgress[];
};

type Plan = {readonly progress: ModelProgress; readonly versions: ReadonlyMap<string, PlacedModel>};

const modelIn = (models: readonly PlacedModel[] | undefined, name: string) => models?.find(({model}) => model === name);
const isVersion = (model: PlacedModel | undefined, desired: PlacedModel) => model?.version === desired.version && model.adapter === desired.adapter;
const placedModelOf = ({model, version, adapter}: PlacedModel): PlacedModel => ({model, version, ...(adapter !== undefined && {adapter})});

/** Number of loads in progress: assigned, but not loaded yet. */
const loadsInProgress = (servers: readonly PlacementServer[]) => servers
	.flatMap(({assigned, loaded}) => (assigned ?? []).filter(desired => loaded !== undefined && !isVersion(modelIn(loaded, desired.model), desired)))
	.length;

/** Prefers servers that already have the model, so that nothing is unloaded before as many others have it; then servers in the failure domain with the fewest. */
const chooseServers = (desired: DesiredModel, candidates: readonly PlacementServer[], target: number) => {
	const ranked = rankMembers(desired.model, candidates.map(({vm}) => vm)).map(vm => candidates.find(server => server.vm === vm)!);
	const weight = ({assigned, loaded}: PlacementServer) => (modelIn(loaded, desired.model) ? 2 : 0) + (modelIn(assigned, desired.model) ? 1 : 0);
	const chosen: PlacementServer[] = [];
	const remaining = [...ranked];
	while (chosen.length < target && remaining.length > 0) {
		const inDomain = ({failureDomain}: PlacementServer) => chosen.filter(server => server.failureDomain === failureDomain).length;
		const next = remaining.toSorted((a, b) => weight(b) - weight(a) || inDomain(a) - inDomain(b) || (a.assigned?.length ?? 0) - (b.assigned?.length ?? 0))[0]!;
		chosen.push(next);
		remaining.splice(remaining.indexOf(next), 1);
	}

	return {chosen, remaining};
};

const planModel = (desired: DesiredModel, servers: readonly PlacementServer[], spareLoads: number): Plan => {
	const candidates = servers.filter(({allowed}) => allowed.includes(desired.model));
	const target = Math.min(desired.replicas ?? candidates.length, candidates.length);
	// At least one replica may be missing, otherwise no server could ever change its version.
	const minReady = Math.max(0, Math.min(desired.minReady ?? target - 1, target - 1));
	const {chosen, remaining} = chooseServers(desired, candidates, target);
	const isReady = ({loaded}: PlacementServer) => modelIn(loaded, desired.model) !== undefined;
	const isChanging = ({assigned, loaded}: PlacementServer) => isVersion(modelIn(assigned, desired.model), desired) && !isVersion(modelIn(loaded, desired.model), desired);
	let allowedMissing = chosen.filter(server => isReady(server) && !isChanging(server)).length - minReady;
	let loads = spareLoads;
	const versions = new Map(chosen.map((server): [string, PlacedModel | undefined] => {
		const current = modelIn(server.assigned, desired.model) ?? modelIn(server.loaded, desired.model);
		if (isVersion(current, desired) && current) {
			return [server.vm, placedModelOf(desired)];
		}

		// An engine that changes its version may not answer meanwhile, so it counts as missing.
		const missing = isReady(server) ? 1 : 0;
		if (loads <= 0 || (isReady(server) && allowedMissing < 1)) {
			return [server.vm, current && placedModelOf(current)];
		}

		loads -= 1;
		allowedMissing -= missing;
		return [server.vm, placedModelOf(desired)];
	}).filter((row): row is [string, PlacedModel] => row[1] !== undefined));
	const ready = chosen.filter(server => isReady(server)).length;
	return {
		progress: {
			model: desired.model,
			target,
			minReady,
			ready,
			rolledOut: chosen.filter(({loaded}) => isVersion(modelIn(loaded, desired.model), desired)).length,
			chosen: chosen.map(({vm}) => vm),
			runnersUp: remaining.map(({vm}) => vm).slice(0, 3),
		},
		versions,
	};
};

/**
Computes the next step.

@param servers - The live engines.
@param maxLoads - Loads that may be in progress at once in the whole fleet, limited by the capacity of the weight store.
*/
export const placeModels = (desired: readonly DesiredModel[], servers: readonly PlacementServer[], maxLoads: number): Placement => {
	let spareLoads = maxLoads - loadsInProgress(servers);
	const plans = desired.map(model => {
		const plan = planModel(model, servers, spareLoads);
		const startedLoads = servers.filter(({vm, assigned, loaded}) => {
			const next = plan.versions.get(vm);
			return next && !isVersion(modelIn(assigned, model.model), next) && !isVersion(modelIn(loaded, model.model), next);
		});
		spareLoads -= startedLoads.length;
		return plan;
	});
	const choices = servers.map(({vm, allowed}): PlacementChoice => ({
		vm,
		models: plans.flatMap(({versions}) => versions.get(vm) ?? []),
		unload: plans.filter(({progress, versions}) => allowed.includes(progress.model) && !versions.has(vm)).map(({progress}) => progress.model),
	}));
	return {choices, progress: plans.map(({progress}) => progress)};
};
