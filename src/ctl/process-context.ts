/**
The context of commands in a real process: the network, the terminal and the clock.
*/
import {randomInt, randomUUID} from 'node:crypto';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {Left, Right} from 'purify-ts/Either';
import type {Clock, ObjectApi} from '../common/services.js';
import {exitCodes} from '../io/exit-codes.js';
import {HttpClient} from '../io/http-client.js';
import type {ObjectApiOptions} from '../io/object-api-calls.js';
import {SeededRandom} from '../io/seeded-random.js';
import {SystemClock} from '../io/system-clock.js';
import type {CtlContext, Output} from './ctl-context.js';
import {ctlError} from './ctl-error.js';
import {type CtlSettings} from './ctl-settings.js';
import {EntryClient} from './entry-client.js';

/** A clock whose sleep keeps the process alive: between two tries, nothing else does. */
class WakingClock extends SystemClock implements Clock {
	override async sleep(ms: number): Promise<void> {
		await pause(ms);
	}
}

const processOutput = (format: Output['format']): Output => ({
	format,
	isTerminal: process.stdout.isTTY,
	print(line) {
		process.stdout.write(`${line}\n`);
	},
	write(text) {
		process.stdout.write(text);
	},
	tell(line) {
		process.stderr.write(`${line}\n`);
	},
});

const highestSeed = 2 ** 31;

/** Opens an object API. */
export type ConnectObjectApi = (client: HttpClient, options: ObjectApiOptions) => ObjectApi;

/** What a context is made from. */
export type ProcessContextParts = {
	/** Where to find both ends. */
	readonly settings: CtlSettings;
	readonly connect: ConnectObjectApi;
	readonly format: Output['format'];
	/** Aborts when the operator ends the program. */
	readonly signal: AbortSignal;
};

/** @returns The context of one command. */
export const processContext = ({
	settings, connect, format, signal,
}: ProcessContextParts): CtlContext => {
	const client = new HttpClient();
	const {objectApi, entry, timeoutMs} = settings;
	return {
		output: processOutput(format),
		clock: new WakingClock(),
		random: new SeededRandom(randomInt(highestSeed)),
		newChangeId: randomUUID,
		signal,
		objectApi: () => objectApi === undefined
			? Left(ctlError(exitCodes.usage, 'give the address of the object API with --object-api ip:port or CITRONYARD_OBJECT_API'))
			: Right(connect(client, {address: objectApi, timeoutMs})),
		entry(accountKey) {
			if (entry === undefined) {
				return Left(ctlError(exitCodes.usage, 'give the address of an entry with --entry ip:port or CITRONYARD_ENTRY'));
			}

			return accountKey === undefined
				? Left(ctlError(exitCodes.usage, 'give the API key of the client account with --account-key or CITRONYARD_ACCOUNT_KEY'))
				: Right(new EntryClient({
					address: entry, accountKey, timeoutMs, signal, client,
				}));
		},
		dispose() {
			client.dispose();
		},
	};
};
