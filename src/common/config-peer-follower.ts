/**
Follows the configuration by long polls to a node further up, and changes to another one when that one is silent, gone or cut off itself. Each poll asks for everything after this node's own revision, so what was missed while a connection or a whole region was cut comes with the first answer after it.
*/
import type {PollNode} from './config-bootstrap.js';
import {pollWaitMs, type ConfigAnswer, type InForceCount} from './config-protocol.js';
import type {ConfigScope, ConfigTable} from './config-table.js';
import type {Clock, Disposable, RandomSource} from './services.js';

/** What the follower needs. */
export type PeerFollowerParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly table: ConfigTable;
	/** This node's VM. */
	readonly node: string;
	readonly scope?: ConfigScope;
	readonly ask: PollNode;
	/** `ip:port` of the nodes to ask, the best first; may change at any time. */
	readonly upstreams: () => readonly string[];
	/** What to report up; undefined when somebody else counts this node. */
	readonly counts: () => readonly InForceCount[] | undefined;
	/** Called when the node that was asked failed or is cut off. */
	readonly onLost?: () => void;
	/** Called when a whole round of upstreams gave nothing. */
	readonly onRoundFailed?: () => void | Promise<void>;
};

/** After this long the best upstream is tried again. */
const returnMs = 30_000;
const shortestRetryMs = 100;
const retrySpreadMs = 400;

/** Follows until disposed. */
export class ConfigPeerFollower implements Disposable {
	readonly #parts: PeerFollowerParts;
	#index = 0;
	#best: string | undefined;
	#failures = 0;
	#movedAt = 0;
	#isConnected = false;
	#disposed = false;

	constructor(parts: PeerFollowerParts) {
		this.#parts = parts;
	}

	/** Whether the node further up that was asked last is connected itself and answered. */
	get isConnected(): boolean {
		return this.#isConnected;
	}

	/** Follows for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		while (!this.#disposed) {
			const upstream = this.#choose();
			const isGood = upstream !== undefined && await this.#poll(upstream);
			this.#failures = isGood ? 0 : this.#failures + 1;
			if (!isGood) {
				await this.#moveOn();
			}
		}
	}

	dispose(): void {
		this.#disposed = true;
	}

	#choose(): string | undefined {
		const upstreams = this.#parts.upstreams();
		if (upstreams[0] !== this.#best || this.#parts.clock.now() - this.#movedAt > returnMs) {
			this.#best = upstreams[0];
			this.#movedAt = this.#parts.clock.now();
			this.#index = 0;
		}

		return upstreams[this.#index % Math.max(1, upstreams.length)];
	}

	async #poll(upstream: string): Promise<boolean> {
		const {table, node, scope, ask, counts} = this.#parts;
		const answer = await ask(upstream, {
			node, since: table.revision, waitMs: this.isConnected ? pollWaitMs : 0, scope, counts: counts(),
		});
		return !this.#disposed && answer.map(got => this.#take(got)).orDefault(false);
	}

	// Changes are taken from any node, also from one that is cut off: the table keeps the newer ones. But a node that is cut off is not waited on.
	#take(answer: ConfigAnswer): boolean {
		const isTaken = answer.isReady && this.#parts.table.apply(answer);
		if (!isTaken || !answer.isConnected) {
			return false;
		}

		this.#isConnected = true;
		return true;
	}

	async #moveOn() {
		const {clock, random, upstreams, onLost, onRoundFailed} = this.#parts;
		this.#isConnected = false;
		onLost?.();
		this.#index += 1;
		this.#movedAt = clock.now();
		const round = Math.max(1, upstreams().length);
		if (this.#failures % round !== 0) {
			return;
		}

		// Nobody helped. The wait differs from node to node, so that not all come back in the moment that an outage ends.
		await onRoundFailed?.();
		await clock.sleep(shortestRetryMs + (random.next() * retrySpreadMs));
	}
}
