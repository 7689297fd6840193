/**
A network in memory for followers of the configuration, whose links can be cut or go silent one by one.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {PollNode} from '../../common/config-bootstrap.js';
import {
	pollTimeoutMs, pollWaitMs, type ConfigAnswer, type ConfigPoll,
} from '../../common/config-protocol.js';
import type {Clock, ObjectApi} from '../../common/services.js';

/** How a link fails: at once, or by no answer at all. */
export type LinkFault = 'refused' | 'silent';

/** Where the object API is, in names of links. */
export const apiNode = 'object-api';

const apiTimeoutMs = 2000;

type Answerer = (poll: ConfigPoll) => Promise<ConfigAnswer>;

/** Links between nodes, by their addresses. */
export class ConfigNetwork {
	readonly #clock: Clock;
	readonly #faults = new Map<string, LinkFault>();
	readonly #answerers = new Map<string, Answerer>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Makes a node answer at its address. */
	listen(address: string, answerer: Answerer): void {
		this.#answerers.set(address, answerer);
	}

	/** Makes nobody answer at an address. */
	close(address: string): void {
		this.#answerers.delete(address);
	}

	/** Breaks what goes from one address to another; the other way is another link. */
	fail(from: string, to: string, fault: LinkFault): void {
		this.#faults.set(`${from}>${to}`, fault);
	}

	/** Mends all links. */
	heal(): void {
		this.#faults.clear();
	}

	/** How the node at an address asks others. */
	askerOf(from: string): PollNode {
		return async (to, poll) => this.#pass(from, to, poll.waitMs + pollTimeoutMs - pollWaitMs, async () => {
			const answerer = this.#answerers.get(to);
			return answerer ? {answer: await answerer(poll)} : undefined;
		}).then(passed => passed.map(({answer}) => answer));
	}

	/** The object API as the node at an address reaches it. */
	apiOf(from: string, api: ObjectApi): ObjectApi {
		const call = async (method: keyof ObjectApi, args: readonly unknown[]) => {
			const passed = await this.#pass(from, apiNode, apiTimeoutMs, async () => ({answer: await (api[method] as (...params: unknown[]) => Promise<Either<unknown, unknown>>).apply(api, [...args])}));
			return passed.chain(({answer}) => answer);
		};

		return new Proxy(api, {get: (_, method) => async (...args: readonly unknown[]) => call(method as keyof ObjectApi, args)});
	}

	// The link is looked at again when the answer comes: it may have failed meanwhile.
	async #pass<T>(from: string, to: string, timeoutMs: number, exchange: () => Promise<T | undefined>): Promise<Either<{kind: 'unavailable'; reason: string}, T>> {
		const failed = Left({kind: 'unavailable' as const, reason: 'cut'});
		const fault = () => this.#faults.get(`${from}>${to}`);
		const result = fault() ? undefined : await exchange();
		if (result === undefined || fault()) {
			await (fault() === 'silent' ? this.#clock.sleep(timeoutMs) : undefined);
			return failed;
		}

		return Right(result);
	}
}
