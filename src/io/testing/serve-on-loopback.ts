/**
HTTP servers and free addresses for scenarios.
*/
import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {TestWorld} from '../../common/testing/test-world.js';

/**
Serves HTTP on a free port of the loopback interface until the scenario ends.

@returns `ip:port`.
*/
export const serveOnLoopback = async (world: TestWorld, listener: RequestListener): Promise<string> => {
	const server = createServer(listener);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	world.register({
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Returns an `ip:port` without a listener; its port was free a moment before. */
export const freeAddress = async (): Promise<string> => {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return `127.0.0.1:${port}`;
};
