/**
The numbered events of configuration and placement at the entry, 500 to 599.
*/
import type {EventDefinition} from '../common/types.js';

export const configEvents = {
	ready: {number: 500, level: 'info', text: 'first configuration is in force'},
	changed: {number: 501, level: 'info', text: 'configuration object changed'},
	watchFailed: {number: 502, level: 'warn', text: 'object API could not be watched'},
	relisted: {number: 503, level: 'info', text: 'whole configuration read again, the object API no longer knows the changes between'},
	snapshotFailed: {number: 504, level: 'warn', text: 'snapshot of the configuration could not be written or read'},
	versionsWentBack: {number: 505, level: 'error', text: 'object API shows older versions than those in force, they are not taken'},
	objectRefused: {number: 506, level: 'error', text: 'object is malformed and not put in force, the last good one stays'},
	statusLeaseTaken: {number: 510, level: 'info', text: 'this entry reports where versions are in force'},
	statusLeaseLost: {number: 511, level: 'info', text: 'this entry no longer reports where versions are in force'},
	statusFailed: {number: 512, level: 'warn', text: 'a status could not be written, it is tried again'},
	placed: {number: 520, level: 'info', text: 'models placed on an engine'},
	placementTaken: {number: 521, level: 'info', text: 'this entry places models'},
	placementLost: {number: 522, level: 'info', text: 'this entry no longer places models'},
} as const satisfies Record<string, EventDefinition>;
