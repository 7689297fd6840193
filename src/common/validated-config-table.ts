/**
The configuration table of a process: it takes well-formed objects only, and logs the others.
*/
import {ConfigTable} from './config-table.js';
import {resourceFault} from './resource-check.js';
import type {EventLog} from './services.js';
import type {EventDefinition} from './types.js';

/** @param refused - The event that tells of an object that was not put in force. */
export const validatedConfigTable = (log: EventLog, refused: EventDefinition): ConfigTable => new ConfigTable({
	faultOf: resourceFault,
	onRefused({kind, name, version}, fault) {
		log.emit(refused, {
			kind, name, version, fault,
		});
	},
});
