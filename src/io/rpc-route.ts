/**
The `/rpc` route, which serves the JSON-RPC 2.0 methods of this process to its peers.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer} from 'json-rpc-2.0';
import {messageValidators} from '../common/message-validators.js';
import {parseObject} from '../common/parse-object.js';
import {holdMemory} from './client-connection.js';
import {readBody} from './read-body.js';
import type {Route} from './http-server.js';

/** Handler of a method. It resolves with the result and must not reject except on a violated invariant. */
export type RpcMethod = (params: never) => unknown;

/** Methods of a process by name. */
export type RpcMethods = Readonly<Record<string, RpcMethod>>;

const maxRpcBytes = 8_388_608;

const answer = (res: ServerResponse, status: number, value: unknown) => {
	const text = JSON.stringify(value);
	if (!holdMemory(res, text.length)) {
		// The method has been carried out: no status may say that it has not.
		res.destroy();
		return;
	}

	res.writeHead(status, {'content-type': 'application/json'});
	res.end(text);
};

/**
Creates the route that serves the methods.

@returns A route for {@link HttpServer}. Invalid input, including parameters that fail their validation by {@link messageValidators}, is answered with a JSON-RPC error.
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
			// The library throws for what is no object.
			if (parseObject(text).isLeft()) {
				answer(res, 400, {});
				return;
			}

			const reply = await server.receiveJSON(text);
			answer(res, 200, reply ?? {});
		},
	};
};

