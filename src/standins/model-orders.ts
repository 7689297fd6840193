/**
The models an engine has loaded, and the orders that change them. Whether an order under an old fencing number is refused is a setting, since real engines differ in it.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {z} from 'zod';

/** The body of `POST /v1/orders`. */
export const orderSchema = z.object({
	order: z.enum(['load', 'unload', 'role']),
	model: z.string(),
	version: z.string().default(''),
	adapter: z.string().optional(),
	role: z.string().optional(),
	fence: z.number().int(),
});

/** See {@link orderSchema}. */
export type Order = z.infer<typeof orderSchema>;

/** A model in the engine's memory. */
export type LoadedModel = {
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
};

/** Why an order was not carried out. */
export type OrderRefusal = {
	readonly status: 409 | 503;
	readonly error: string;
	readonly highestFence: number;
	/** Seconds after which to try again, where known. */
	readonly retryAfter?: string;
};

/** Why weights did not come. */
export type WeightRefusal = {readonly reason: string; readonly retryAfter?: string};

/** Gets weights by their key; resolves when they are here. */
export type WeightLoader = (key: string) => Promise<Either<WeightRefusal, void>>;

/** What {@link ModelOrders} needs. */
export type ModelOrderOptions = {
	readonly checksFence: boolean;
	readonly models: readonly LoadedModel[];
	readonly loadWeights: WeightLoader;
};

/** The loaded models and the highest fencing number seen. */
export class ModelOrders {
	readonly #options: ModelOrderOptions;
	readonly #loaded: Map<string, LoadedModel>;
	readonly #latest = new Map<string, Order>();
	#highestFence = 0;
	#role = 'serve';

	readonly #handlers: Readonly<Record<Order['order'], (order: Order) => Promise<Either<OrderRefusal, void>>>> = {
		load: async order => this.#load(order),
		unload: async order => {
			this.#loaded.delete(order.model);
			return Right(undefined);
		},
		role: async order => {
			this.#role = order.role ?? this.#role;
			return Right(undefined);
		},
	};

	constructor(options: ModelOrderOptions) {
		this.#options = options;
		this.#loaded = new Map(options.models.map(loaded => [loaded.model, loaded]));
	}

	get models(): LoadedModel[] {
		return [...this.#loaded.values()];
	}

	get highestFence(): number {
		return this.#highestFence;
	}

	get role(): string {
		return this.#role;
	}

	has(model: string): boolean {
		return this.#loaded.has(model);
	}

	/** Carries out an order; a load is carried out when the weights have come. */
	async obey(order: Order): Promise<Either<OrderRefusal, void>> {
		if (this.#options.checksFence && order.fence < this.#highestFence) {
			return this.#refuse('the order carries an old fencing number');
		}

		this.#highestFence = Math.max(this.#highestFence, order.fence);
		if (order.order !== 'role') {
			this.#latest.set(order.model, order);
		}

		return this.#handlers[order.order](order);
	}

	async #load(order: Order): Promise<Either<OrderRefusal, void>> {
		const keys = order.adapter === undefined ? [order.version] : [order.version, order.adapter];
		for (const key of keys) {
			const weights = await this.#options.loadWeights(key);
			if (weights.isLeft()) {
				const {reason, retryAfter} = weights.extract();
				return Left({
					status: 503, error: reason, highestFence: this.#highestFence, retryAfter,
				});
			}
		}

		// An order that came while the weights were on their way goes before this one: carrying out both in the order in which loads end would undo the newer.
		if (this.#latest.get(order.model) !== order) {
			return this.#refuse('a later order for this model came meanwhile');
		}

		this.#loaded.set(order.model, {model: order.model, version: order.version, adapter: order.adapter});
		return Right(undefined);
	}

	#refuse(error: string): Either<OrderRefusal, void> {
		return Left({status: 409, error, highestFence: this.#highestFence});
	}
}
