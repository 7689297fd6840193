/**
Changes of configuration during a soak, and what each entry has in force. The account `probe` changes its key with every version, so that an entry tells by which key it takes which version it has.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {keyHash} from '../../src/entry/accounts.js';
import type {Caller} from '../../src/load/caller.js';
import type {SoakFleet} from './soak-fleet.js';

/** An entry that went back to an older version. */
export type Revert = {readonly vm: string; readonly from: number; readonly latest: number};

const changeMs = 700;
const retryMs = 100;
const lookMs = 150;
const askTimeoutMs = 500;
const unauthorized = 401;
const keyOf = (version: number) => `probe-${version}`;

/** Writes changes and looks at them. */
export class SoakConfig {
	readonly reverts: Revert[] = [];
	/** Milliseconds from a change's acceptance until it was seen in force, one value an entry and change that was seen. */
	readonly lagsMs: number[] = [];
	readonly #fleet: SoakFleet;
	readonly #caller: Caller;
	readonly #acceptedAt: number[] = [];
	readonly #inForce = new Map<string, number>();
	#written = 0;

	constructor(fleet: SoakFleet, caller: Caller) {
		this.#fleet = fleet;
		this.#caller = caller;
	}

	/** Changes accepted by the object API. */
	get changes(): number {
		return this.#acceptedAt.length;
	}

	/** Writes and looks until the moment of `performance.now()`. */
	async run(until: number): Promise<void> {
		await Promise.all([this.#write(until), ...this.#fleet.entryVms.map(async vm => this.#look(vm, until))]);
	}

	async #write(until: number) {
		while (performance.now() < until) {
			this.#written += 1;
			const version = this.#written;
			while (!await this.#fleet.apply('ClientAccount', 'probe', {keySha256: [keyHash(keyOf(version))]})) {
				await sleep(retryMs);
			}

			this.#acceptedAt[version - 1] = performance.now();
			await sleep(changeMs);
		}
	}

	async #look(vm: string, until: number) {
		while (performance.now() < until) {
			await this.#lookOnce(vm);
			await sleep(lookMs);
		}
	}

	async #lookOnce(vm: string) {
		const known = this.#inForce.get(vm) ?? 0;
		const latest = this.#written;
		const refused: boolean[] = [];
		// Upwards: a version that comes into force meanwhile is still ahead, so one of the keys is taken unless the entry went back.
		for (let version = Math.max(1, known); version <= latest; version += 1) {
			const status = await this.#ask(vm, version);
			if (status === 'taken') {
				this.#seen(vm, version, known);
				return;
			}

			refused.push(status === 'refused');
		}

		// None of the keys it may have: unless a newer one was written meanwhile, it has an older version in force.
		if (known > 0 && latest === this.#written && refused.every(Boolean)) {
			this.reverts.push({vm, from: known, latest});
		}
	}

	#seen(vm: string, version: number, known: number) {
		const acceptedAt = this.#acceptedAt[version - 1];
		if (version > known && acceptedAt !== undefined) {
			this.lagsMs.push(performance.now() - acceptedAt);
		}

		this.#inForce.set(vm, version);
	}

	async #ask(vm: string, version: number): Promise<'taken' | 'refused' | 'silent'> {
		const answer = await this.#caller.request('GET', '/v1/models', {
			address: this.#fleet.processes.get(vm).address, apiKey: keyOf(version), timeoutMs: askTimeoutMs,
		});
		if (answer.kind === 'whole') {
			return 'taken';
		}

		return answer.kind === 'error' && answer.status === unauthorized ? 'refused' : 'silent';
	}
}
