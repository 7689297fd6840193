/**
How the end of an HTTP response is marked. A response with neither a length nor chunks ends with its connection, and is complete only if that was not reset.
*/
import type {IncomingHttpHeaders} from 'node:http';

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** A response of which the head has been received. */
export type ResponseHead = {
	/** Method of the request. */
	readonly method: string;
	readonly status: number;
	/** Keyed by lower-case name. */
	readonly headers: IncomingHttpHeaders;
};

/** Whether the response's end is marked by something else than the end of its connection. */
export const isFramed = ({method, status, headers}: ResponseHead): boolean => method === 'HEAD' || bodilessStatuses.has(status)
	|| headers['content-length'] !== undefined || String(headers['transfer-encoding'] ?? '').includes('chunked');
