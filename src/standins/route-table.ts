/**
Finds the handler for a request in a table of method and path.
*/
import type {Exchange} from './exchange.js';

/** Answers a request. */
export type Handler = (exchange: Exchange) => void | Promise<void>;

/** Handlers by `METHOD /path`; a segment `:name` takes any one segment, decoded. */
export type Routes = Readonly<Record<string, Handler>>;

type Route = {
	readonly method: string;
	readonly segments: readonly string[];
	readonly handler: Handler;
};

const toRoute = ([key, handler]: [string, Handler]): Route => {
	const [method = '', path = ''] = key.split(' ');
	return {method, segments: path.split('/'), handler};
};

const decoded = (segment: string): string => {
	try {
		return decodeURIComponent(segment);
	} catch {
		return segment;
	}
};

const fits = (route: Route, method: string, segments: readonly string[]): boolean =>
	route.method === method
	&& route.segments.length === segments.length
	&& route.segments.every((part, i) => part.startsWith(':') || part === segments[i]);

const paramsOf = (route: Route, segments: readonly string[]): Record<string, string> => Object.fromEntries(route.segments
	.map((part, i) => [part, segments[i] ?? ''] as const)
	.filter(([part]) => part.startsWith(':'))
	.map(([part, segment]) => [part.slice(1), decoded(segment)]));

/** The routes of one stand-in. */
export class RouteTable {
	readonly #routes: readonly Route[];

	constructor(routes: Routes) {
		this.#routes = Object.entries(routes).map(entry => toRoute(entry));
	}

	/** The handler for a request, with the exchange's `params` set; undefined when no route fits. */
	find(exchange: Exchange): Handler | undefined {
		const segments = exchange.url.pathname.split('/');
		const route = this.#routes.find(candidate => fits(candidate, exchange.method, segments));
		if (route) {
			exchange.params = paramsOf(route, segments);
		}

		return route?.handler;
	}
}
