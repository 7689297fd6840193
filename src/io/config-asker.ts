/**
Asks another node for configuration over JSON-RPC.
*/
import type {PollNode} from '../common/config-bootstrap.js';
import {pollTimeoutMs, pollWaitMs, type ConfigAnswer} from '../common/config-protocol.js';
import type {RpcClient} from './rpc-client.js';

/** The method's name. */
export const configChangesMethod = 'config.changes';

/** Makes the function that polls a node by its address. */
export const configAsker = (rpc: RpcClient): PollNode => async (address, poll) => {
	const timeoutMs = poll.waitMs + (pollTimeoutMs - pollWaitMs);
	return rpc.call<ConfigAnswer>({address, timeoutMs}, configChangesMethod, poll);
};
