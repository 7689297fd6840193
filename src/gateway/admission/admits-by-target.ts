/**
What switches admission by latency target on. Earlier deployments declare targets, engines and accounts too, but only callers who are known to press for more than there is room for, and to come back when told, are served better by a refusal than by a late answer; without that, {@link DeadlineAdmission} remains the rule.
*/
import type {GatewayFeatures, GatewayRoute} from '../types.js';

/** Whether the calls of a route at a service are admitted by its latency target. Only the first event of a stream follows from the wait for a slot; the target of other routes includes the whole run. */
export const admitsByTarget = (features: GatewayFeatures, route: Pick<GatewayRoute, 'kind' | 'latencyTargetMs'>, service: {readonly engine?: unknown} | undefined): boolean =>
	features.admitsByTarget && route.kind === 'stream' && route.latencyTargetMs > 0 && service?.engine !== undefined;
