/**
How the engine stand-in gets weights from the weight store.
*/
import {Left, Right} from 'purify-ts/Either';
import type {WeightLoader} from './model-orders.js';

/**
Makes a loader.

@param address - `ip:port` of the weight store. Without one, weights are there at once.
*/
export const loadFrom = (address: string | undefined): WeightLoader => async key => {
	if (address === undefined) {
		return Right(undefined);
	}

	try {
		const res = await fetch(`http://${address}/v1/weights/${encodeURIComponent(key)}`);
		await res.arrayBuffer();
		return res.ok
			? Right(undefined)
			: Left({reason: `the weight store answered ${res.status}`, retryAfter: res.headers.get('retry-after') ?? undefined});
	} catch (err) {
		return Left({reason: `the weight store can not be reached: ${String(err)}`});
	}
};
