/**
Where a resumable stream began: the service and the software version of the replica whose event its caller received first. It is stored outside the front that sent the stream, since the caller resumes the stream at another front if that one fails.
*/
import type {Branded} from '../../common/ids.js';
import type {
	ClientAccountName, GatewayRoute, GatewayServiceName, SoftwareVersion,
} from '../types.js';

/** Identifies a stream over all attempts of its caller: the attempt that brought its first event, and the account that owns it. */
export type StreamKey = Branded<string, 'StreamKey'>;

/** The origin of one stream. */
export type StreamOrigin = {
	readonly key: StreamKey;
	readonly service: GatewayServiceName;
	readonly softwareVersion: SoftwareVersion;
	/** Number of the run, counted by changes of the version before the first event; the highest one is valid. */
	readonly run: number;
};

/** An origin as it is announced. */
export type AnnouncedOrigin = StreamOrigin & {
	/** Milliseconds for which the receiver keeps it. */
	readonly keepMs: number;
};

/** The longest key, in characters: keys are kept in memory, and callers choose the ids. */
const maxKeyLength = 200;

/** @returns The key, or `undefined` for an id that is empty or too long. */
export const streamKey = (requestId: string | undefined, account: ClientAccountName | undefined): StreamKey | undefined => {
	const key = account === undefined ? requestId : `${account}/${requestId}`;
	return requestId && key && key.length <= maxKeyLength ? key as StreamKey : undefined;
};

/** The shortest time for which a stream may be resumed, in milliseconds: a caller that restarts is late. */
const minResumableMs = 10_000;

/** @returns Milliseconds after its start for which a stream may be resumed: each attempt lasts at most the route's time-out. */
export const resumableForMs = ({timeoutMs}: Pick<GatewayRoute, 'timeoutMs'>): number => Math.max(minResumableMs, 2 * timeoutMs);
