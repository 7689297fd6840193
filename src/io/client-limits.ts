/**
What the servers of one process let their clients hold, derived from what the VM grants to the process.

Clients get a part of the memory that an idle process leaves free, and a part of the descriptors: the rest is for the process's own connections, for what it knows, and for memory that is garbage but not collected yet.
*/
import type {MachineLimits} from './settings-schemas.js';

/** What a server serves; it determines the server's part of the descriptors. */
export type ServerRole = 'callers' | 'peers' | 'readiness' | 'metrics';

/** Limits of all servers of one process together, and of each. */
export type ClientLimits = {
	/** Memory that the VM grants to the process, in bytes. */
	readonly memoryBytes: number;
	/** Bytes that requests in progress may hold, over all servers. */
	readonly heldBytes: number;
	/** Descriptors for open connections, by server. */
	readonly connections: Readonly<Record<ServerRole, number>>;
	/** Memory for request heads that are incomplete, in bytes, by server. */
	readonly headBytes: Readonly<Record<ServerRole, number>>;
};

/** Memory of a process without clients, in bytes, and as much again as its heap grows between two collections. */
const ownBytes = 96_000_000;

/** Least memory for clients, in bytes, on a VM that is smaller than an idle process. */
const leastBytes = 16_000_000;

/** Part of the memory for clients that requests may hold. */
const heldShare = 0.25;

/** Part of it that incomplete heads may hold. */
const headShare = 0.4;

const descriptorShares: Readonly<Record<ServerRole, number>> = {
	callers: 0.5, peers: 0.125, readiness: 0.03, metrics: 0.03,
};

const headShares: Readonly<Record<ServerRole, number>> = {
	callers: 0.75, peers: 0.2, readiness: 0.025, metrics: 0.025,
};

const mapShares = (shares: Readonly<Record<ServerRole, number>>, total: number): Readonly<Record<ServerRole, number>> =>
	Object.fromEntries(Object.entries(shares).map(([role, share]) => [role, Math.floor(share * total)])) as Record<ServerRole, number>;

/** Derives the limits of a process. */
export const clientLimitsOf = ({memoryMb, maxDescriptors}: MachineLimits): ClientLimits => {
	const memoryBytes = 1_000_000 * memoryMb;
	const clientBytes = Math.max(leastBytes, memoryBytes - ownBytes);
	return {
		memoryBytes,
		heldBytes: Math.floor(heldShare * clientBytes),
		connections: mapShares(descriptorShares, maxDescriptors),
		headBytes: mapShares(headShares, headShare * clientBytes),
	};
};
