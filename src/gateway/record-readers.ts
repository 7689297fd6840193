/**
Readers for the records that operators and replicas write into the object API. They hide the platform's field names from the gateway's controllers.
*/
import type {Either} from 'purify-ts/Either';
import type {GatewayConfig, ReplicaRecord} from './types.js';

/** An operator's request to remove a storage VM. */
export type RetirementRequest = {
	/** Milliseconds that the operator allows for it. */
	readonly withinMs: number;
};

/** Each reader returns `Left` with the reason if a value is invalid. */
export type RecordReaders = {
	/** The name of the object that holds the configuration. */
	readonly configName: string;
	/** The value that is written once a VM may be removed. */
	readonly retirementDone: unknown;
	readConfig(value: unknown): Either<string, GatewayConfig>;
	readReplica(name: string, value: unknown): Either<string, ReplicaRecord>;
	readRetirement(value: unknown): Either<string, RetirementRequest>;
};
