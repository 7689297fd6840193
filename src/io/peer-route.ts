/**
Keeps a route for the fleet's own processes. The entry's port is the callers' too, and what processes tell each other is none of the callers' business: configuration holds the accounts' key hashes.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Route} from './http-server.js';

/** An IPv4 address that came in over an IPv6 socket is written `::ffff:a.b.c.d`. */
const mappedPrefix = '::ffff:';

const hostOf = (address: string) => address.slice(0, address.lastIndexOf(':')).replaceAll(/[\[\]]/gv, '');

/**
Refuses requests that come from any other address than the given ones' hosts.

@param peers - `ip:port` of all VMs of the fleet, by the last list that was read.
*/
export const forPeersOnly = (route: Route, peers: () => readonly string[]): Route => ({
	...route,
	async handle(req: IncomingMessage, res: ServerResponse, match) {
		const from = (req.socket.remoteAddress ?? '').replace(mappedPrefix, '');
		if (!peers().some(address => hostOf(address) === from)) {
			res.writeHead(403).end();
			return;
		}

		await route.handle(req, res, match);
	},
});
