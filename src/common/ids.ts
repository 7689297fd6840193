/**
Identifiers and numbers that must not be mixed up carry a brand, so that the compiler rejects a VM's name where a client account's is expected. A brand costs nothing at run time.
*/

declare const brand: unique symbol;

/** A primitive that the compiler distinguishes from others of its type by `Name`. */
export type Branded<T, Name extends string> = T & {readonly [brand]: Name};

/** One caller's request, over all its attempts; unique in the fleet. */
export type RequestId = Branded<string, 'RequestId'>;
/** The name of a client account resource. */
export type AccountName = Branded<string, 'AccountName'>;
/** The name of a served model, as callers write it in `model`. */
export type ModelName = Branded<string, 'ModelName'>;
/** The name of an online service that is routed to below `/services/`. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** The name of a VM in the platform's VM list. */
export type VmName = Branded<string, 'VmName'>;
/** The name of a failure domain, for instance `recife-a`. */
export type FailureDomain = Branded<string, 'FailureDomain'>;
/** A batch job's id, as callers see it (`batch_…`). */
export type JobId = Branded<string, 'JobId'>;
/** An uploaded file's id, as callers see it (`file-…`). */
export type FileId = Branded<string, 'FileId'>;
/** A version of the object API: grows with every change of any object. */
export type Revision = Branded<number, 'Revision'>;
/** A fencing number: grows each time a lease changes its holder. */
export type Fence = Branded<number, 'Fence'>;
/** A hash of a block of prompt text and of all blocks before it. */
export type BlockHash = Branded<string, 'BlockHash'>;

/**
Brands a value from a trusted origin: validated input, or a value that this process created.

@param value - The plain value.
@returns The same value, branded.
*/
export const branded = <T extends Branded<string, string> | Branded<number, string>>(value: T extends string ? string : number): T => value as unknown as T;
