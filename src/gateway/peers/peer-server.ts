/**
Creates the HTTP server at which a process accepts its peers' calls. It serves JSON-RPC and nothing else.
*/
import type {EventLog} from '../../common/services.js';
import type {ClientLoad} from '../../io/client-load.js';
import {HttpServer} from '../../io/http-server.js';
import {rpcRoute, type RpcMethods} from '../../io/rpc-route.js';
import {gatewayEvents} from '../log-events.js';

/**
@param methods - The methods that peers may call, by name.
@param load - What the clients of this process hold.
*/
export const peerServer = (methods: RpcMethods, log: EventLog, load: ClientLoad): HttpServer => new HttpServer([rpcRoute(methods)], {
	notFound(_req, res) {
		res.writeHead(404);
		res.end();
	},
	wrongMethod(_req, res) {
		res.writeHead(405);
		res.end();
	},
	broken(err) {
		log.emit(gatewayEvents.handlerFailed, {reason: String(err)});
	},
}, {load, role: 'peers'});
