/**
Schemas of the resources that operators write, one a kind. They follow `typings/resources.d.ts` and refuse unknown keys, so that a typing error is told and not kept.
*/
import * as z from 'zod';
import type {
	BackendServerSpec, BatchJobSpec, ClientAccountSpec, ModelVersionSpec, OnlineServiceSpec, ServedModelSpec,
} from '../../typings/resources.js';
import {countOf, durationMs, sizeBytes} from '../io/settings-schemas.js';

const longestName = 120;
const namePattern = /^[a-z\d](?:[a-z\d.\-]*[a-z\d])?$/v;

/** A resource's name, and every field that holds one. */
export const nameSchema = z.string()
	.max(longestName)
	.regex(namePattern, 'wants lower-case letters, digits, "." and "-", with a letter or digit at both ends');

const sha256Schema = z.string().regex(/^[\da-f]{64}$/v, 'wants a SHA-256 in 64 lower-case hex digits');

const servedModelSpec: z.ZodType<ServedModelSpec> = z.strictObject({
	version: nameSchema,
	replicas: countOf().optional(),
	minReady: countOf().optional(),
}).refine(({replicas, minReady}) => replicas === undefined || minReady === undefined || minReady <= replicas, {
	path: ['minReady'],
	error: 'must be at most replicas',
});

const modelVersionSpec: z.ZodType<ModelVersionSpec> = z.strictObject({
	weights: z.string().min(1),
	adapter: z.string().min(1).optional(),
	bytes: sizeBytes().optional(),
});

const onlineServiceSpec: z.ZodType<OnlineServiceSpec> = z.strictObject({
	idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])).optional(),
	timeoutMs: durationMs().optional(),
});

/** A file may give the API keys themselves; only their hashes go on. */
export type ClientAccountFileSpec = Omit<ClientAccountSpec, 'keySha256'> & {
	readonly keySha256?: readonly string[];
	readonly apiKeys?: readonly string[];
};

const clientAccountSpec: z.ZodType<ClientAccountFileSpec> = z.strictObject({
	share: z.number().positive().optional(),
	keySha256: z.array(sha256Schema).optional(),
	apiKeys: z.array(z.string().min(1)).optional(),
	maxInFlight: countOf().optional(),
}).refine(({keySha256, apiKeys}) => keySha256 !== undefined || apiKeys !== undefined, {
	path: ['keySha256'],
	error: 'is missing: wants a list of hashes, or apiKeys with the keys themselves',
});

const backendServerSpec: z.ZodType<BackendServerSpec> = z.strictObject({
	type: z.enum(['engine', 'service']),
	models: z.array(nameSchema).optional(),
	service: nameSchema.optional(),
	checksFence: z.boolean().optional(),
}).refine(({type, service}) => type === 'engine' || service !== undefined, {
	path: ['service'],
	error: 'is missing: a backend server of type "service" names its online service',
}).refine(({type, service}) => type === 'service' || service === undefined, {
	path: ['service'],
	error: 'is only for a backend server of type "service"',
}).refine(({type, models}) => type === 'engine' || models === undefined, {
	path: ['models'],
	error: 'is only for a backend server of type "engine"',
});

const batchJobSpec: z.ZodType<BatchJobSpec> = z.strictObject({
	account: nameSchema,
	jobKey: z.string().min(1),
	inputFileId: z.string().min(1),
	endpoint: z.string().startsWith('/'),
	dueTime: z.iso.datetime(),
	createdTime: z.iso.datetime(),
	cancelled: z.boolean().optional(),
	cancelledTime: z.iso.datetime().optional(),
	clientMetadata: z.record(z.string(), z.string()).optional(),
});

const specSchemas = {
	ServedModel: servedModelSpec,
	ModelVersion: modelVersionSpec,
	OnlineService: onlineServiceSpec,
	BatchJob: batchJobSpec,
	ClientAccount: clientAccountSpec,
	BackendServer: backendServerSpec,
} as const;

/** A kind of resource that operators write. */
export type ResourceKind = keyof typeof specSchemas;

/** All kinds of resource, in the order in which `apply` needs them: what is referred to goes first. */
export const resourceKinds = ['ModelVersion', 'ServedModel', 'OnlineService', 'BackendServer', 'ClientAccount', 'BatchJob'] as const satisfies readonly ResourceKind[];

/** A batch job's id is its name, and is not an operator's choice. */
const nameSchemas: Partial<Record<ResourceKind, z.ZodType<string>>> = {
	BatchJob: z.string().min(1).max(longestName),
};

/** A resource as a file has it. `status` may stand in a file that `get -o json` wrote, and is passed over. */
export type ResourceFile = {
	readonly apiVersion: 'citronyard/v1';
	readonly kind: ResourceKind;
	readonly metadata: {readonly name: string; readonly generation?: number; readonly changeId?: string};
	readonly spec: Readonly<Record<string, unknown>>;
	readonly status?: unknown;
};

/**
@param kind - A kind of resource.
@returns The schema of a whole resource of this kind in a file.
*/
export const resourceSchema = (kind: ResourceKind): z.ZodType<ResourceFile> => z.strictObject({
	apiVersion: z.literal('citronyard/v1'),
	kind: z.literal(kind),
	metadata: z.strictObject({
		name: nameSchemas[kind] ?? nameSchema,
		generation: z.int().positive().optional(),
		changeId: z.string().optional(),
	}),
	spec: specSchemas[kind],
	status: z.unknown().optional(),
});
