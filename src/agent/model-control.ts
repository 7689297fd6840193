/**
How an agent changes the models of its engine.
*/
import type {Either} from 'purify-ts/Either';
import type {ModelOrder, PlacedModel} from '../common/placement.js';

/** Why an order was not carried out. */
export type OrderFailure = {readonly reason: string; readonly retryAfterMs?: number};

/** An engine's models. */
export type ModelControl = {
	/** What is loaded; undefined when the engine does not say. */
	loaded(): Promise<readonly PlacedModel[] | undefined>;
	/** Resolves when the order has been carried out, for a load with the weights in place. */
	order(order: ModelOrder, fence: number, signal: AbortSignal): Promise<Either<OrderFailure, void>>;
};
