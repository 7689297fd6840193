/**
What a route says about its calls: by its kind, and by its targets.
*/
import type {RandomSource} from '../../common/services.js';
import type {GatewayRoute, GatewayServiceName, RouteKind} from '../types.js';

/** See the module's head. */
export type CallTraits = {
	/** Whether a broken run may be followed by another one. */
	readonly isRepeatable: (route: GatewayRoute) => boolean;
	/** Whether the answer is a series of events. */
	readonly isStream: boolean;
};

export const traitsByKind: Readonly<Record<RouteKind, CallTraits>> = {
	safe: {isRepeatable: () => true, isStream: false},
	unsafe: {isRepeatable: () => false, isStream: false},
	stream: {isRepeatable: route => route.isResumable, isStream: true},
	batch: {isRepeatable: () => false, isStream: false},
};

/** Chooses one of a route's targets by their weights. */
export const chooseService = ({targets}: GatewayRoute, random: RandomSource): GatewayServiceName => {
	const totalWeight = targets.reduce((sum, {weight}) => sum + weight, 0);
	let remainingWeight = random.next() * totalWeight;
	const chosen = targets.find(({weight}) => {
		remainingWeight -= weight;
		return remainingWeight < 0;
	});
	return (chosen ?? targets[0])?.service ?? ('' as GatewayServiceName);
};
