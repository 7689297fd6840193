/**
The copies of one call's runs: where the copy of the current run is kept, and whether the run can go on from it after its replica has ended.

A copy is used only where its replica has ended or cannot be reached, and never for a request that may be the cause of that. Each copy is used at most once. A run that goes on from a copy is not copied again.
*/
import type {GatewayParts} from '../parts.js';
import {gatewayEvents} from '../log-events.js';
import type {Replica} from '../replica.js';
import type {
	CallFields, CopySource, GatewayRoute, GatewayServiceName,
} from '../types.js';
import {chooseHolder, isCopied} from './copy-policy.js';

/** Parameters of a call's copies. */
export type ContinuedCall = {
	readonly route: GatewayRoute;
	readonly service: GatewayServiceName;
	readonly fields: CallFields;
};

/** A replica with the copy of a run. */
export type HeldCopy = {
	readonly holder: Replica;
	readonly source: CopySource;
};

/** See the module's head. */
export class RunContinuation {
	/** Whether the runs of the call are copied. */
	readonly isCopied: boolean;
	readonly #parts: GatewayParts;
	readonly #requestId: string;
	#holder: Replica | undefined;

	constructor(parts: GatewayParts, {route, service, fields}: ContinuedCall) {
		this.#parts = parts;
		this.#requestId = fields.requestId;
		this.isCopied = parts.continuesRuns && fields.requestId !== '' && isCopied(route, parts.board.service(service)?.engine, fields.size);
	}

	/**
	Chooses where the copy of a run is kept.

	@param replicas - Replicas that may run the call.
	@returns The address to which its replica sends the copy, as `ip:port`; `undefined` if the run is not copied.
	*/
	chooseCopyAddress(runsAt: Replica, replicas: readonly Replica[]): string | undefined {
		const {clock, random, metrics} = this.#parts;
		this.#holder = this.isCopied ? chooseHolder(replicas, {runsAt, now: clock.now(), random}) : undefined;
		if (this.#holder) {
			metrics.count('gateway.runsCopied', 1);
		}

		return this.#holder?.record.address;
	}

	/** Whether a copy of the current run may exist. */
	get hasCopy(): boolean {
		return this.#holder !== undefined;
	}

	/** Uses the copy of the current run. @returns `undefined` if there is none, or its holder takes no work. */
	takeCopy(lastEventId: number): HeldCopy | undefined {
		const {clock, log, directory, metrics} = this.#parts;
		const holder = this.#holder;
		this.#holder = undefined;
		const isUsable = holder !== undefined && !holder.isBackedOff(clock.now()) && directory.takesWork(holder);
		if (holder) {
			log.emit(gatewayEvents.copyTaken, {
				id: this.#requestId, holder: holder.record.id, isUsable, lastEventId, online: holder.allOnline,
			});
			metrics.count('gateway.copiesTaken', 1, {isUsable: String(isUsable)});
		}

		return isUsable ? {holder, source: {address: holder.record.address, requestId: this.#requestId}} : undefined;
	}
}
