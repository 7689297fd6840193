/**
Notices by its peers that this process acts on an old configuration. A watch may have gone silent, or skip a change; keys that were taken away would be good here until it is asked for again.
*/
import type {Disposable} from '../common/services.js';
import type {ConfigBoard} from './config-board.js';
import type {ObjectFeed} from './object-feed.js';

/** A change comes with the own watch at about the time at which a peer tells of it; after this long, in milliseconds, it is asked for. */
const patienceMs = 300;

/** See the module's head. */
export class ConfigLag implements Disposable {
	readonly #board: ConfigBoard;
	readonly #feed: ObjectFeed;
	#newest = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(board: ConfigBoard, feed: ObjectFeed) {
		this.#board = board;
		this.#feed = feed;
	}

	/** A peer acts on this version. */
	note(version: number): void {
		this.#newest = Math.max(this.#newest, version);
		if (this.#isBehind) {
			this.#timer ??= setTimeout(() => {
				void this.#ask();
			}, patienceMs);
		}
	}

	dispose(): void {
		clearTimeout(this.#timer);
	}

	get #isBehind(): boolean {
		return this.#newest > (this.#board.config?.version ?? 0);
	}

	async #ask() {
		if (this.#isBehind) {
			await this.#feed.sync();
		}

		this.#timer = undefined;
	}
}
