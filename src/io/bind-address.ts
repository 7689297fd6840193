/**
Binds an address that may not be available yet. A process that starts right after its predecessor was killed may find the address in use: the predecessor is not gone, or a connection of another process has been given the port. After a restart of a VM, its network address may come later than the process. Nothing else may start a process that ended for such a reason, so it waits.
*/
import {setTimeout as pause} from 'node:timers/promises';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {EventLog} from '../common/services.js';
import {parseAddress, type Address} from './address.js';
import {exitCodes} from './exit-codes.js';
import {platformEvents} from './log-events.js';
import type {StartError} from './program.js';

/** Called once, with the reason, if the address is not available at once. */
export type AddressAwaited = (address: string, reason: string) => void;

/** @returns What logs each address that is waited for. */
export const logAwaited = (log: EventLog): AddressAwaited => (address, reason) => {
	log.emit(platformEvents.addressAwaited, {address, reason});
};

/** Error codes of an address that another process, or the VM's start, may still free. */
const transientCodes = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

const retryMs = 50;

/** The system keeps the port of a closed connection for at most 60 s. */
const longestWaitMs = 65_000;

/**
@param address - `ip:port`; port 0 takes any free port.
@param bind - Rejects with the system's error if the address can't be bound.
@returns What `bind` has returned, or why the address can't be bound.
*/
export const bindAddress = async <T>(address: string, bind: (target: Address) => Promise<T>, onAwaited: AddressAwaited = () => undefined): Promise<Either<StartError, T>> => {
	const target = parseAddress(address) ?? {host: '', port: 0};
	const startedAt = performance.now();
	let isAwaited = false;
	while (true) {
		try {
			return Right(await bind(target));
		} catch (err) {
			const {code = '', message} = err as NodeJS.ErrnoException;
			if (!transientCodes.has(code) || performance.now() - startedAt > longestWaitMs) {
				return Left({exitCode: exitCodes.unavailable, message: `can not listen on ${address}: ${message}`});
			}

			if (!isAwaited) {
				isAwaited = true;
				onAwaited(address, code);
			}
		}

		await pause(retryMs);
	}
};
