/**
Starts a TCP server on an address; see {@link bindAddress}.
*/
import type {AddressInfo, Server} from 'node:net';
import type {Either} from 'purify-ts/Either';
import {formatAddress} from './address.js';
import {bindAddress, type AddressAwaited} from './bind-address.js';
import type {StartError} from './program.js';

/** Connections that may wait until the process accepts them; a rush of callers fills a shorter queue before they can be refused. */
const backlog = 1024;

const ignore = () => undefined;

/** @returns The bound address, as `ip:port`. */
export const listen = async (server: Server, address: string, onAwaited?: AddressAwaited): Promise<Either<StartError, string>> => bindAddress(address, async ({host, port}) => new Promise<string>((resolve, reject) => {
	server.once('error', reject);
	server.listen({host, port, backlog}, () => {
		server.off('error', reject);
		// From now on, an error concerns one connection that could not be accepted.
		server.off('error', ignore);
		server.on('error', ignore);
		const bound = server.address() as AddressInfo;
		resolve(formatAddress({host: bound.address, port: bound.port}));
	});
}), onAwaited);
