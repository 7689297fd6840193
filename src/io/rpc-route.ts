/**
The `/rpc` route: JSON-RPC 2.0 methods of this process for its peers.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer} from 'json-rpc-2.0';
import {messageValidators} from '../common/message-validators.js';
import {readBody} from './read-body.js';
import type {Route} from './http-server.js';

/** A method's handler. What it resolves with is the result; it must not reject but for broken invariants. */
export type RpcMethod = (params: never) => unknown;

/** The methods a process offers, by name. */
export type RpcMethods = Readonly<Record<string, RpcMethod>>;

const maxRpcBytes = 8_388_608;

const answer = (res: ServerResponse, status: number, value: unknown) => {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(value));
};

/**
Makes the route that serves the methods.

@returns A route for {@link HttpServer}. Bad input, parameters that fail their test in {@link messageValidators} included, is answered by JSON-RPC's own errors.
*/
export const rpcRoute = (methods: RpcMethods): Route => {
	const server = new JSONRPCServer({errorListener: () => undefined});
	Object.entries(methods).forEach(([name, method]) => {
		server.addMethod(name, params => {
			if (messageValidators[name]?.(params) === false) {
				throw new JSONRPCErrorException('malformed parameters', JSONRPCErrorCode.InvalidParams);
			}

			return method(params as never);
		});
	});

	return {
		method: 'POST',
		pattern: /^\/rpc$/v,
		async handle(req: IncomingMessage, res: ServerResponse) {
			const body = await readBody(req, maxRpcBytes);
			const text = body.map(bytes => bytes.toString('utf8')).orDefault('');
			const reply = await server.receiveJSON(text);
			answer(res, 200, reply ?? {});
		},
	};
};

