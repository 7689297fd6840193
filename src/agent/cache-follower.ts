/**
Reads the engine's cache events into the agent's {@link CacheMirror}. An engine that does not answer may have been restarted with an empty cache and numbers that begin anew, so the mirror forgets everything then.
*/
import type {CacheEvent, CacheMirror} from '../common/cache-mirror.js';
import type {Clock, Disposable} from '../common/services.js';
import type {HttpClient, HttpResponse} from '../io/http-client.js';

/** What the follower is made of. */
export type CacheFollowerParts = {
	readonly clock: Clock;
	readonly http: HttpClient;
	/** The engine's `ip:port`. */
	readonly address: string;
	readonly mirror: CacheMirror;
};

const waitMs = 1000;
// Events are read in bundles: at a hundred requests a second a read for each would cost more than the events are worth.
const pauseMs = 100;
const failurePauseMs = 500;

/** Follows until disposed. */
export class CacheFollower implements Disposable {
	readonly #parts: CacheFollowerParts;
	readonly #gone = new AbortController();

	constructor(parts: CacheFollowerParts) {
		this.#parts = parts;
	}

	/** Follows for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		const {clock, mirror} = this.#parts;
		while (!this.#gone.signal.aborted) {
			const events = await this.#read();
			if (events) {
				mirror.apply(events);
			} else {
				mirror.reset();
			}

			await clock.sleep(events ? pauseMs : failurePauseMs);
		}
	}

	dispose(): void {
		this.#gone.abort();
	}

	async #read(): Promise<readonly CacheEvent[] | undefined> {
		const {http, address, mirror} = this.#parts;
		const sent = await http.send({
			address, method: 'GET', path: `/v1/cache-events?since=${mirror.seq}&waitMs=${waitMs}`, timeoutMs: 2 * waitMs, signal: this.#gone.signal,
		});
		if (sent.isLeft()) {
			return undefined;
		}

		try {
			const res = sent.extract() as HttpResponse;
			const answer = await res.body.json() as {events?: CacheEvent[]};
			return answer.events;
		} catch {
			return undefined;
		}
	}
}
