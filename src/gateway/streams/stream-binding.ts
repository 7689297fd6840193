/**
The software version that a call's stream is bound to. What two versions generate does not fit together, so from the first event that its caller has received, a stream goes on only at replicas of the version that began it. A run that brought no event binds nothing.
*/
import type {Replica} from '../replica.js';
import type {SoftwareVersion} from '../types.js';

/** @returns The replicas of the version, or all if none is given. */
export const ofVersion = (replicas: readonly Replica[], version: SoftwareVersion | undefined): readonly Replica[] => version === undefined
	? replicas
	: replicas.filter(({record}) => record.softwareVersion === version);

/** See the module's head. */
export class StreamBinding {
	#boundVersion: SoftwareVersion | undefined;
	/** The version of the current run. */
	#runVersion: SoftwareVersion | undefined;

	/** The only version that may run the call; `undefined` until its caller has an event. */
	get softwareVersion(): SoftwareVersion | undefined {
		return this.#boundVersion;
	}

	/** Records at which version the current run was started. */
	noteRun({record}: Replica): void {
		this.#runVersion = record.softwareVersion;
	}

	/** The caller has received an event of the current run. */
	noteEvent(): void {
		this.#boundVersion ??= this.#runVersion;
	}
}
