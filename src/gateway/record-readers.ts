/**
How the gateway's controllers read what operators and replicas write into the object API, whatever its fields are called there.
*/
import type {Either} from 'purify-ts/Either';
import type {GatewayConfig, ReplicaRecord} from './types.js';

/** An operator's wish to take a storage VM away. */
export type RetirementRequest = {
	/** Milliseconds that the operator gives for it. */
	readonly withinMs: number;
};

/** Each reader tells what is wrong with a value that it cannot read. */
export type RecordReaders = {
	/** The name of the object that holds the configuration. */
	readonly configName: string;
	/** What is written once a VM may be taken away. */
	readonly retirementDone: unknown;
	readConfig(value: unknown): Either<string, GatewayConfig>;
	readReplica(name: string, value: unknown): Either<string, ReplicaRecord>;
	readRetirement(value: unknown): Either<string, RetirementRequest>;
};
