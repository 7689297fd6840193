/**
Polls another node for configuration changes over JSON-RPC.
*/
import type {PollNode} from '../common/config-bootstrap.js';
import {pollTimeoutMs, pollWaitMs, type ConfigAnswer} from '../common/config-protocol.js';
import type {RpcClient} from './rpc-client.js';

/** Name of the JSON-RPC method. */
export const configChangesMethod = 'config.changes';

/** Creates the function that polls the node at an address. */
export const configAsker = (rpc: RpcClient): PollNode => async (address, poll) => {
	const timeoutMs = poll.waitMs + (pollTimeoutMs - pollWaitMs);
	return rpc.call<ConfigAnswer>({address, timeoutMs}, configChangesMethod, poll);
};
