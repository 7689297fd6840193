/**
Log events of the program frame, which all daemons share. Numbers 100 to 109 are reserved for them.
*/
import {type EventDefinition} from '../common/types.js';

/** Log events of the program frame. */
export const platformEvents = {
	/** Fields: version, pid, addresses. */
	programStarted: {number: 100, level: 'info', text: 'program started'},
	/** Fields: signal. */
	drainStarted: {number: 101, level: 'info', text: 'graceful shutdown started'},
	/** No fields. */
	programStopped: {number: 102, level: 'info', text: 'program stopped'},
	/** Fields: reason. */
	startFailed: {number: 103, level: 'error', text: 'program could not start'},
	/** Fields: reason, stack. */
	invariantBroken: {number: 104, level: 'error', text: 'invariant violated; stopping the process'},
	/** Fields: signal. SIGINT was received during the graceful shutdown. */
	shutdownCutShort: {number: 105, level: 'warn', text: 'graceful shutdown cut short by a second signal'},
	/** Fields: cause, path. */
	settingsReloaded: {number: 106, level: 'info', text: 'settings reloaded'},
	/** Fields: cause, path, problems. */
	settingsRefused: {number: 107, level: 'error', text: 'changed settings rejected; the previous settings remain in force'},
	/** Fields: lines (dropped since the last such event), sinceStart. */
	linesDropped: {number: 108, level: 'warn', text: 'log lines dropped because the reader of the log is too slow'},
	/** Fields: signal. */
	stopRepeated: {number: 109, level: 'info', text: 'graceful shutdown is in progress already; the signal changes nothing'},
	/** Fields: address, reason (the system's error code). */
	addressAwaited: {number: 110, level: 'warn', text: 'address to listen on is not available; waiting for it'},
	/** Fields: reason, server, peer (address of the client), heldBytes (by all clients). */
	limitMet: {
		number: 111, level: 'warn', text: 'client met a limit; its request was refused or its connection closed', isRefusal: true,
	},
	/** Fields: of (number of the event), lines (left out since the last such line). */
	linesLeftOut: {number: 112, level: 'info', text: 'log lines of an event left out, since there were too many in a second'},
} as const satisfies Record<string, EventDefinition>;
