/**
Registrations for the steps of several features: their values are the replicas' records as they are.
*/
import {Left, Right} from 'purify-ts/Either';
import type {RecordReaders} from '../record-readers.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {ReplicaRecord} from '../types.js';

/** Reads registrations only. */
export const replicaRecords: RecordReaders = {
	configName: 'main',
	retirementDone: {},
	readConfig: () => Left('no configuration here'),
	readReplica: (_name, value) => Right(value as ReplicaRecord),
	readRetirement: () => Right({withinMs: 0}),
};

/** What a replica writes of itself. */
export const registrationOf = (id: string): ReplicaRecord => ({
	id, service: 'engines', address: '127.0.0.1:1', failureDomain: 'hall', slots: 8, isDraining: false,
} as unknown as ReplicaRecord);

/** The names of the replicas that a process knows, in their order. */
export const registeredReplicas = (directory: ReplicaDirectory): string[] => [...directory.all].map(({record}) => record.id as string).toSorted((a, b) => (a < b ? -1 : 1));
