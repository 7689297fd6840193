/**
Reads the resources of a file: one, or a list of several. All are checked before any is applied, so a file with a mistake changes nothing.
*/
import {createHash} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts/Either';
import {type AnyResource} from '../../typings/resources.js';
import {JsoncDocument} from '../io/jsonc-document.js';
import {type SettingsError} from '../io/settings-error.js';
import {
	resourceKinds, resourceSchema, type ClientAccountFileSpec, type ResourceFile, type ResourceKind,
} from './resource-schemas.js';

const isResourceKind = (kind: unknown): kind is ResourceKind => (resourceKinds as readonly unknown[]).includes(kind);

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

/** The keys themselves must not reach the object API, where everyone who may read it would have them. */
const hashKeys = ({apiKeys = [], keySha256 = [], ...spec}: ClientAccountFileSpec) => ({
	...spec, keySha256: [...new Set([...keySha256, ...apiKeys.map(sha256)])],
});

const preparers: Partial<Record<ResourceKind, (spec: ResourceFile['spec']) => ResourceFile['spec']>> = {
	ClientAccount: spec => hashKeys(spec),
};

const toResource = ({apiVersion, kind, metadata, spec}: ResourceFile): AnyResource => {
	const resource: unknown = {
		apiVersion, kind, metadata, spec: preparers[kind]?.(spec) ?? spec,
	};
	return resource as AnyResource;
};

const readOne = (document: JsoncDocument, value: unknown, path: Array<string | number>): Either<SettingsError, AnyResource> => {
	const kind = (value as {kind?: unknown} | null)?.kind;
	return isResourceKind(kind)
		? document.check(resourceSchema(kind), path).map(toResource)
		: Left({kind: 'invalid', problems: [document.problemAtPath([...path, 'kind'], `wants one of ${resourceKinds.join(', ')}`)]});
};

const collect = (checked: ReadonlyArray<Either<SettingsError, AnyResource>>): Either<SettingsError, readonly AnyResource[]> => {
	const problems = Either.lefts(checked).flatMap(err => err.kind === 'invalid' ? err.problems : []);
	return problems.length > 0 ? Left({kind: 'invalid', problems}) : Right(Either.rights(checked));
};

const repeatedNames = (document: JsoncDocument, resources: readonly AnyResource[]): Either<SettingsError, readonly AnyResource[]> => {
	const ids = resources.map(({kind, metadata}) => `${kind} ${metadata.name}`);
	const problems = ids.flatMap((id, i) => ids.indexOf(id) < i ? [document.problemAtPath([i, 'metadata', 'name'], `${id} stands twice in this file`)] : []);
	return problems.length > 0 ? Left({kind: 'invalid', problems}) : Right(resources);
};

const orderOf = ({kind}: AnyResource): number => resourceKinds.indexOf(kind);

/**
@param document - A parsed file.
@returns Its resources, those that others refer to first, or all problems.
*/
export const resourcesOf = (document: JsoncDocument): Either<SettingsError, readonly AnyResource[]> => {
	const {value} = document;
	const checked = Array.isArray(value)
		? value.map((item: unknown, i) => readOne(document, item, [i]))
		: [readOne(document, value, [])];
	return collect(checked)
		.chain(resources => repeatedNames(document, resources))
		.map(resources => resources.toSorted((a, b) => orderOf(a) - orderOf(b)));
};

/**
@param file - The path of a file of JSON with comments.
@returns See {@link resourcesOf}.
*/
export const readResources = (file: string): Either<SettingsError, readonly AnyResource[]> =>
	JsoncDocument.read(file).chain(resourcesOf);
