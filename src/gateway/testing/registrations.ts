/**
Registrations for the steps of several features. Their values are unencoded replica records.
*/
import {Left, Right} from 'purify-ts/Either';
import type {RecordReaders} from '../record-readers.js';
import type {ReplicaDirectory} from '../replica-directory.js';
import type {ReplicaRecord} from '../types.js';

/** Readers that support registrations only. */
export const replicaRecords: RecordReaders = {
	configName: 'main',
	retirementDone: {},
	readConfig: () => Left('no configuration here'),
	readReplica: (_name, value) => Right(value as ReplicaRecord),
	readRetirement: () => Right({withinMs: 0}),
};

/** The registration of a replica. */
export const registrationOf = (id: string): ReplicaRecord => ({
	id, service: 'engines', address: '127.0.0.1:1', failureDomain: 'hall', softwareVersion: 'v1', slots: 8, isDraining: false,
} as unknown as ReplicaRecord);

/** The sorted ids of the replicas in a directory. */
export const registeredReplicas = (directory: ReplicaDirectory): string[] => [...directory.all].map(({record}) => record.id as string).toSorted((a, b) => (a < b ? -1 : 1));
