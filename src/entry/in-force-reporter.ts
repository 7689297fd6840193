/**
Reports in how many nodes each version is in force. One entry does it, under a lease: it adds up the counts that rode up to the watchers, and writes a resource's status when its version is in force everywhere, or stays behind somewhere.
*/
import type {Either} from 'purify-ts/Either';
import type {AnyResource} from '../../typings/resources.js';
import {countInForce} from '../common/config-counts.js';
import {
	inForceCondition, isInForce, isReportDue, isSettled, pendingOf, reportedKinds, withTally, type InForceTally, type PendingVersion,
} from '../common/config-in-force.js';
import type {InForceCount} from '../common/config-protocol.js';
import type {Disposable, EventLog} from '../common/services.js';
import type {WatchEvent} from '../common/types.js';
import {configEvents} from './config-log-events.js';
import {EntryLease, type EntryLeaseParts} from './entry-lease.js';
import {statusName, StatusWriter} from './status-writer.js';

/** What the reporter needs. */
export type ReporterParts = EntryLeaseParts & {
	readonly log: EventLog;
	/** Live VMs that follow the configuration, agents included. */
	readonly nodesKnown: () => number;
	/** Asks every watcher for its counts; fails when one of them did not answer. */
	readonly gather: () => Promise<Either<unknown, readonly InForceCount[]>>;
};

const leaseName = 'config-status';
const leaseMs = 15_000;
const tendMs = 4000;
const tickMs = 1000;
const writesPerTick = 10;

/** Reports until disposed. */
export class InForceReporter implements Disposable {
	readonly #parts: ReporterParts;
	readonly #lease: EntryLease;
	readonly #writer: StatusWriter;
	readonly #pending = new Map<string, PendingVersion>();
	readonly #stop: () => void;
	#deleted: WatchEvent[] = [];
	#isLoaded = false;
	#disposed = false;

	constructor(parts: ReporterParts) {
		this.#parts = parts;
		this.#lease = new EntryLease(parts, {name: leaseName, ttlMs: leaseMs, tendMs});
		this.#writer = new StatusWriter(parts.api, parts.clock);
		this.#stop = parts.table.onChange(event => {
			this.#note(event);
		});
	}

	/** Reports for good. Resolves after `dispose`. */
	async run(): Promise<void> {
		while (!this.#disposed) {
			await this.#tend();
			await (this.#lease.isHeld ? this.#report() : undefined);
			await this.#parts.clock.sleep(tickMs);
		}
	}

	/** Gives the lease back. */
	async release(): Promise<void> {
		this.dispose();
		await this.#lease.release();
	}

	dispose(): void {
		this.#disposed = true;
		this.#stop();
	}

	async #tend() {
		const wasHeld = this.#isLoaded;
		if (!await this.#lease.tend()) {
			return;
		}

		if (this.#lease.isHeld) {
			await (wasHeld ? undefined : this.#load());
		} else if (wasHeld) {
			this.#forget();
			this.#parts.log.emit(configEvents.statusLeaseLost, {});
		}
	}

	// A new holder does not know what the one before it had still to report.
	async #load() {
		const {table, clock, log} = this.#parts;
		const statuses = await this.#writer.readAll();
		statuses.ifRight(known => {
			const byName = new Map(known.map(({name, value}) => [name, value]));
			reportedKinds.flatMap(kind => table.list<AnyResource>(kind))
				.filter(({kind, name, value}) => !isSettled(value, byName.get(statusName(kind, name))))
				.forEach(stored => {
					this.#pending.set(statusName(stored.kind, stored.name), pendingOf(stored, clock.now()));
				});
			this.#isLoaded = true;
			log.emit(configEvents.statusLeaseTaken, {pending: this.#pending.size, fence: this.#lease.fence});
		});
	}

	#forget() {
		this.#isLoaded = false;
		this.#pending.clear();
		this.#deleted = [];
	}

	#note(event: WatchEvent) {
		if (!this.#isLoaded || !reportedKinds.includes(event.kind)) {
			return;
		}

		const key = statusName(event.kind, event.name);
		if (event.type === 'delete') {
			this.#pending.delete(key);
			this.#deleted.push(event);
		} else {
			this.#pending.set(key, pendingOf(event, this.#parts.clock.now()));
		}
	}

	async #report() {
		await this.#removeDeleted();
		if (this.#pending.size === 0) {
			return;
		}

		const counts = await this.#parts.gather();
		const rows = counts.orDefault([]);
		if (counts.isLeft()) {
			return;
		}

		const {clock} = this.#parts;
		const due = [...this.#pending.values()]
			.map(pending => this.#observe(pending, rows))
			.filter(({pending, tally}) => isReportDue(pending, tally, clock.now()))
			.slice(0, writesPerTick);
		for (const {pending, tally} of due) {
			await this.#write(pending, tally);
		}
	}

	#observe(before: PendingVersion, rows: readonly InForceCount[]) {
		const tally = this.#tally(rows, before);
		const pending = withTally(before, tally, this.#parts.clock.now());
		this.#pending.set(statusName(pending.kind, pending.name), pending);
		return {pending, tally};
	}

	#tally(rows: readonly InForceCount[], {version}: PendingVersion): InForceTally {
		const {nodesInForce, nodesCounted} = countInForce(rows, version);
		// The VM list lags: nodes that were counted exist, listed or not.
		return {nodesInForce, nodesKnown: Math.max(nodesCounted, this.#parts.nodesKnown())};
	}

	async #write(pending: PendingVersion, tally: InForceTally) {
		const {kind, name, generation} = pending;
		const done = isInForce(tally);
		// Checked before each write: a holder that was paused must not write over its successor's reports.
		if (!this.#lease.isHeld) {
			return;
		}

		const written = await this.#writer.write(kind, name, {
			observedGeneration: generation,
			...tally,
			conditions: [{
				type: inForceCondition,
				status: done ? 'True' : 'False',
				reason: done ? 'AllNodes' : 'SomeNodesBehind',
				message: `generation ${generation} is in force at ${tally.nodesInForce} of ${tally.nodesKnown} nodes`,
			}],
		});
		written
			.ifRight(() => {
				this.#written(pending, tally);
			})
			.ifLeft(err => {
				this.#parts.log.emit(configEvents.statusFailed, {kind, name, reason: err.kind});
			});
	}

	#written(pending: PendingVersion, tally: InForceTally) {
		const key = statusName(pending.kind, pending.name);
		if (this.#pending.get(key) !== pending) {
			// A newer version came while this one was written.
			return;
		}

		if (isInForce(tally)) {
			this.#pending.delete(key);
			return;
		}

		this.#pending.set(key, {...pending, reported: tally, reportedAt: this.#parts.clock.now()});
	}

	async #removeDeleted() {
		const events = this.#deleted.splice(0, writesPerTick);
		for (const event of events) {
			const removed = await this.#writer.remove(event.kind, event.name);
			if (removed.isLeft() && removed.extract().kind !== 'notFound') {
				this.#deleted.push(event);
			}
		}
	}
}
