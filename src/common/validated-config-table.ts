/**
Creates the configuration table of a process, which accepts only well-formed objects and logs the others.
*/
import {ConfigTable} from './config-table.js';
import {resourceFault} from './resource-check.js';
import type {EventLog} from './services.js';
import type {EventDefinition} from './types.js';

/** @param refused - The event that is logged for a rejected object. */
export const validatedConfigTable = (log: EventLog, refused: EventDefinition): ConfigTable => new ConfigTable({
	faultOf: resourceFault,
	onRefused({kind, name, version}, fault) {
		log.emit(refused, {
			kind, name, version, fault,
		});
	},
});
