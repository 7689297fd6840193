/**
Which runs are copied to a second replica while they run, and where the copy is kept. Pure: it reads no clock and sends nothing.

The pattern it answers: replicas crash, or lose their power, while streams run that may not be run a second time. Their callers would be left with part of an answer. An engine can send the memory of a run to another one as it grows, and a run that goes on from such a copy is still the same run.
*/
import type {RandomSource} from '../../common/services.js';
import type {Replica} from '../replica.js';
import type {EngineTraits, GatewayRoute, RequestSize} from '../types.js';

/** Tokens of a request whose caller stated no size. */
const presumedTokens = 2000;

/** A run whose copy is larger than this, in bytes, is not copied: it would occupy the engines' links for as long as an event may take. */
const maxCopyBytes = 67_108_864;

/** Copies are kept only while this share of an engine's memory suffices for all of its slots: engines preempt requests when their memory runs out. */
const maxMemoryShare = 0.5;

/** The number of tokens that a run may come to hold. */
const tokensOf = ({promptTokens = 0, maxOutputTokens = 0}: RequestSize = {}): number => promptTokens + maxOutputTokens || presumedTokens;

/**
Whether the runs of a call are worth a copy. Streams that may be resumed need none: another run supplies the rest.

@param size - As stated by the caller.
*/
export const isCopied = ({kind, isResumable}: Pick<GatewayRoute, 'kind' | 'isResumable'>, engine: EngineTraits | undefined, size: RequestSize | undefined): boolean => {
	if (kind !== 'stream' || isResumable || !engine?.canBackUpRuns) {
		return false;
	}

	const tokens = tokensOf(size);
	return tokens * engine.bytesPerToken <= maxCopyBytes && tokens * engine.slots <= maxMemoryShare * engine.memoryTokens;
};

/** Criteria for the replica that keeps a copy. */
export type HolderContext = {
	/** The replica that runs the call. */
	readonly runsAt: Replica;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	readonly random: RandomSource;
};

/**
Chooses the replica that keeps the copy of a run: one of the same failure domain, so that the copy crosses no domain, and of the same software version, since the texts of two versions must not be joined. Of two by lot, the less loaded one; a full one keeps none, because the run could not go on there in time.

@param replicas - Replicas of the service that accept work.
@returns `undefined` if there is none.
*/
export const chooseHolder = (replicas: readonly Replica[], {runsAt, now, random}: HolderContext): Replica | undefined => {
	const {failureDomain, softwareVersion} = runsAt.record;
	const possible = replicas.filter(replica => replica !== runsAt
		&& replica.record.failureDomain === failureDomain
		&& replica.record.softwareVersion === softwareVersion
		&& !replica.isBackedOff(now)
		&& replica.allOnline < replica.record.slots);
	if (possible.length === 0) {
		return undefined;
	}

	const [first, second] = [possible, possible].map(some => some[Math.floor(random.next() * some.length)]!);
	return first!.total <= second!.total ? first : second;
};
