/**
Restricts a route to the processes of the fleet. The port of the entry is also open to callers, who must not see the messages between processes: configuration contains the key hashes of the accounts.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Route} from './http-server.js';

/** Prefix of an IPv4 address on an IPv6 socket, which has the form `::ffff:a.b.c.d`. */
const mappedPrefix = '::ffff:';

const hostOf = (address: string) => address.slice(0, address.lastIndexOf(':')).replaceAll(/[\[\]]/gv, '');

/**
Rejects requests, with status 403, whose source is not the host of one of the given addresses.

@param peers - Returns `ip:port` of all VMs of the fleet, from the last VM list that was read.
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
