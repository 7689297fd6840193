/**
The routes of one configuration, by host and path. Among the routes of a host, the one with the longest matching path prefix is used.
*/
import type {GatewayConfig, GatewayRoute, GatewayServiceName} from './types.js';

const longestFirst = (a: GatewayRoute, b: GatewayRoute): number => b.pathPrefix.length - a.pathPrefix.length;

/** Hosts are compared without the port and case-insensitively, as HTTP specifies. */
const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/v, '');

/** The path without its query. */
const pathOf = (target: string): string => target.split('?', 1)[0] ?? target;

/** The services that get calls of the route. */
export const servicesOf = ({targets}: Pick<GatewayRoute, 'targets'>): GatewayServiceName[] => targets.filter(({weight}) => weight > 0).map(({service}) => service);

/** Finds the route of a call. Immutable: each configuration has its own table. */
export class RouteTable {
	readonly #byHost: ReadonlyMap<string, readonly GatewayRoute[]>;
	readonly #byName: ReadonlyMap<string, GatewayRoute>;

	constructor({routes}: Pick<GatewayConfig, 'routes'>) {
		const hosts = [...new Set(routes.map(({host}) => normalizeHost(host)))];
		this.#byHost = new Map(hosts.map(host => [host, routes.filter(route => normalizeHost(route.host) === host).toSorted(longestFirst)]));
		this.#byName = new Map(routes.map(route => [route.name, route]));
	}

	/**
	@param host - The `Host` header of the call.
	@param target - Path and query.
	@returns `undefined` if no route matches.
	*/
	match(host: string, target: string): GatewayRoute | undefined {
		const path = pathOf(target);
		return this.#byHost.get(normalizeHost(host))?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}

	named(name: string): GatewayRoute | undefined {
		return this.#byName.get(name);
	}
}
