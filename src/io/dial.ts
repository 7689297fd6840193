/**
Whether a TCP connection to an address can be made: the cheapest question that shows a process or a network that is gone.
*/
import {connect} from 'node:net';
import {parseAddress, type Address} from './address.js';

const connectWithin = async (target: Address, limitMs: number): Promise<boolean> => new Promise(resolve => {
	const socket = connect(target);
	const finish = (isMade: boolean) => {
		clearTimeout(timer);
		socket.destroy();
		resolve(isMade);
	};

	const timer = setTimeout(() => {
		// After a pause of this process the connection may long have been made, and only not been looked at: timers come before sockets. The next turn of the event loop has looked.
		setImmediate(finish, false);
	}, limitMs);
	socket.once('connect', () => {
		finish(true);
	});
	socket.once('error', () => {
		finish(false);
	});
});

/**
Makes a connection and closes it at once.

@param address - `ip:port`.
@param limitMs - Milliseconds that it may take.
@returns Whether it was made in time. Never rejects.
*/
export const dial = async (address: string, limitMs: number): Promise<boolean> => {
	const target = parseAddress(address);
	return target !== undefined && connectWithin(target, limitMs);
};
