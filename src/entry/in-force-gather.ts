/**
Adds up the counts of all watchers: each node of the fleet stands below exactly one.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import type {InForceCount} from '../common/config-protocol.js';
import {configWatchers} from '../common/config-upstream.js';
import type {VmEntry} from '../common/types.js';
import type {RpcClient, RpcFailure} from '../io/rpc-client.js';

/** The method's name. */
export const configCountsMethod = 'config.counts';

const timeoutMs = 1000;

/** Asks the watchers among the entries. A watcher that does not answer hides a part of the fleet, which then counts as behind. */
export const gatherCounts = async (entries: readonly VmEntry[], rpc: RpcClient): Promise<Either<RpcFailure, readonly InForceCount[]>> => {
	const watchers = new Set(configWatchers(entries));
	const addresses = entries.filter(({name}) => watchers.has(name)).map(({address}) => address);
	const answers = await Promise.all(addresses.map(async address => rpc.call<readonly InForceCount[]>({address, timeoutMs}, configCountsMethod, {})));
	const counts = answers.flatMap(answer => answer.orDefault([]));
	return counts.length === 0 && answers.length > 0 ? Left(answers[0]!.swap().unsafeCoerce()) : Right(counts);
};
