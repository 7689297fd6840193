/**
Follows the configuration by long polls to an upstream node, and switches to another one when that node is unresponsive, terminated or disconnected itself. Each poll requests everything after this node's own revision, so the first answer after a disconnection, even of a whole region, contains all changes that were missed.
*/
import type {PollNode} from './config-bootstrap.js';
import {pollWaitMs, type ConfigAnswer, type InForceCount} from './config-protocol.js';
import type {ConfigScope, ConfigTable} from './config-table.js';
import type {Clock, Disposable, RandomSource} from './services.js';

/** Dependencies of the follower. */
export type PeerFollowerParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly table: ConfigTable;
	/** This node's VM. */
	readonly node: string;
	readonly scope?: ConfigScope;
	readonly ask: PollNode;
	/** `ip:port` of the nodes to poll, the best first; may change at any time. */
	readonly upstreams: () => readonly string[];
	/** Counts to report upstream; undefined when another node counts this one. */
	readonly counts: () => readonly InForceCount[] | undefined;
	/** Called when the polled node failed or is disconnected. */
	readonly onLost?: () => void;
	/** Called when all upstreams of a round have failed. */
	readonly onRoundFailed?: () => void | Promise<void>;
};

/** Milliseconds after which the best upstream is tried again. */
const preferredRetryMs = 30_000;
const minRetryDelayMs = 100;
const retryJitterMs = 400;

/** Follows until disposed. */
export class ConfigPeerFollower implements Disposable {
	readonly #parts: PeerFollowerParts;
	#index = 0;
	#preferred: string | undefined;
	#failures = 0;
	#switchedAt = 0;
	#isConnected = false;
	#disposed = false;

	constructor(parts: PeerFollowerParts) {
		this.#parts = parts;
	}

	/** Whether the upstream polled last answered and is connected itself. */
	get isConnected(): boolean {
		return this.#isConnected;
	}

	/** Polls until disposed. Resolves after `dispose`. */
	async run(): Promise<void> {
		while (!this.#disposed) {
			const upstream = this.#chooseUpstream();
			const isSuccess = upstream !== undefined && await this.#poll(upstream);
			this.#failures = isSuccess ? 0 : this.#failures + 1;
			if (!isSuccess) {
				await this.#switchUpstream();
			}
		}
	}

	dispose(): void {
		this.#disposed = true;
	}

	#chooseUpstream(): string | undefined {
		const upstreams = this.#parts.upstreams();
		if (upstreams[0] !== this.#preferred || this.#parts.clock.now() - this.#switchedAt > preferredRetryMs) {
			this.#preferred = upstreams[0];
			this.#switchedAt = this.#parts.clock.now();
			this.#index = 0;
		}

		return upstreams[this.#index % Math.max(1, upstreams.length)];
	}

	async #poll(upstream: string): Promise<boolean> {
		const {table, node, scope, ask, counts} = this.#parts;
		const answer = await ask(upstream, {
			node, since: table.revision, waitMs: this.isConnected ? pollWaitMs : 0, scope, counts: counts(),
		});
		return !this.#disposed && answer.map(received => this.#applyAnswer(received)).orDefault(false);
	}

	// Changes are accepted from any node, even a disconnected one: the table keeps only newer ones. But polls do not wait at a disconnected node; the next one goes to another.
	#applyAnswer(answer: ConfigAnswer): boolean {
		const isApplied = answer.isReady && this.#parts.table.apply(answer);
		if (!isApplied || !answer.isConnected) {
			return false;
		}

		this.#isConnected = true;
		return true;
	}

	async #switchUpstream() {
		const {clock, random, upstreams, onLost, onRoundFailed} = this.#parts;
		this.#isConnected = false;
		onLost?.();
		this.#index += 1;
		this.#switchedAt = clock.now();
		const round = Math.max(1, upstreams().length);
		if (this.#failures % round !== 0) {
			return;
		}

		// All upstreams failed. The delay is random, so that not all nodes return at the moment when an outage ends.
		await onRoundFailed?.();
		await clock.sleep(minRetryDelayMs + (random.next() * retryJitterMs));
	}
}
