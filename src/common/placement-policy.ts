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
	/** Chosen servers that have the wanted version. */
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
const isVersion = (model: PlacedModel | undefined, wanted: PlacedModel) => model?.version === wanted.version && model.adapter === wanted.adapter;
const placedModelOf = ({model, version, adapter}: PlacedModel): PlacedModel => ({model, version, ...(adapter !== undefined && {adapter})});

/** Number of loads in progress: assigned, but not loaded yet. */
const loadsUnderWay = (servers: readonly PlacementServer[]) => servers
	.flatMap(({assigned, loaded}) => (assigned ?? []).filter(wanted => loaded !== undefined && !isVersion(modelIn(loaded, wanted.model), wanted)))
	.length;

/** Prefers servers that already have the model, so that nothing is unloaded before as many others have it; then servers in the failure domain with the fewest. */
const chooseServers = (wanted: DesiredModel, candidates: readonly PlacementServer[], target: number) => {
	const ranked = rankMembers(wanted.model, candidates.map(({vm}) => vm)).map(vm => candidates.find(server => server.vm === vm)!);
	const weight = ({assigned, loaded}: PlacementServer) => (modelIn(loaded, wanted.model) ? 2 : 0) + (modelIn(assigned, wanted.model) ? 1 : 0);
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

const planModel = (wanted: DesiredModel, servers: readonly PlacementServer[], spareLoads: number): Plan => {
	const candidates = servers.filter(({allowed}) => allowed.includes(wanted.model));
	const target = Math.min(wanted.replicas ?? candidates.length, candidates.length);
	// At least one replica may be missing, otherwise no server could ever change its version.
	const minReady = Math.max(0, Math.min(wanted.minReady ?? target - 1, target - 1));
	const {chosen, remaining} = chooseServers(wanted, candidates, target);
	const isReady = ({loaded}: PlacementServer) => modelIn(loaded, wanted.model) !== undefined;
	const isChanging = ({assigned, loaded}: PlacementServer) => isVersion(modelIn(assigned, wanted.model), wanted) && !isVersion(modelIn(loaded, wanted.model), wanted);
	let allowedMissing = chosen.filter(server => isReady(server) && !isChanging(server)).length - minReady;
	let loads = spareLoads;
	const versions = new Map(chosen.map((server): [string, PlacedModel | undefined] => {
		const current = modelIn(server.assigned, wanted.model) ?? modelIn(server.loaded, wanted.model);
		if (isVersion(current, wanted) && current) {
			return [server.vm, placedModelOf(wanted)];
		}

		// An engine that changes its version may not answer meanwhile, so it counts as missing.
		const missing = isReady(server) ? 1 : 0;
		if (loads <= 0 || (isReady(server) && allowedMissing < 1)) {
			return [server.vm, current && placedModelOf(current)];
		}

		loads -= 1;
		allowedMissing -= missing;
		return [server.vm, placedModelOf(wanted)];
	}).filter((row): row is [string, PlacedModel] => row[1] !== undefined));
	const ready = chosen.filter(server => isReady(server)).length;
	return {
		progress: {
			model: wanted.model,
			target,
			minReady,
			ready,
			rolledOut: chosen.filter(({loaded}) => isVersion(modelIn(loaded, wanted.model), wanted)).length,
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
export const placeModels = (wanted: readonly DesiredModel[], servers: readonly PlacementServer[], maxLoads: number): Placement => {
	let spareLoads = maxLoads - loadsUnderWay(servers);
	const plans = wanted.map(model => {
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
