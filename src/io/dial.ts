/**
Checks whether a TCP connection to an address can be established: the cheapest probe that detects a terminated process or an unreachable network.
*/
import {connect} from 'node:net';
import {parseAddress, type Address} from './address.js';

const connectWithin = async (target: Address, timeoutMs: number): Promise<boolean> => new Promise(resolve => {
	const socket = connect(target);
	const finish = (isConnected: boolean) => {
		clearTimeout(timer);
		socket.destroy();
		resolve(isConnected);
	};

	const timer = setTimeout(() => {
		// After a pause of this process the connection may already be established without its event having been processed, since timers run before sockets. By the next turn of the event loop it has been processed.
		setImmediate(finish, false);
	}, timeoutMs);
	socket.once('connect', () => {
		finish(true);
	});
	socket.once('error', () => {
		finish(false);
	});
});

/**
Opens a connection and closes it immediately.

@param address - `ip:port`.
@param timeoutMs - Connect timeout in milliseconds.
@returns Whether the connection was established in time; `false` for a malformed address. Never rejects.
*/
export const dial = async (address: string, timeoutMs: number): Promise<boolean> => {
	const target = parseAddress(address);
	return target !== undefined && connectWithin(target, timeoutMs);
};
