/**
Kinds as operators type them: in any case, in singular or plural, or short.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {exitCodes} from '../io/exit-codes.js';
import {ctlError, type CtlError} from './ctl-error.js';
import {resourceKinds, type ResourceKind} from './resource-schemas.js';

const shortNames: Readonly<Record<string, ResourceKind>> = {
	model: 'ServedModel', version: 'ModelVersion', service: 'OnlineService', backend: 'BackendServer', account: 'ClientAccount', job: 'BatchJob',
};

const names: Readonly<Record<string, ResourceKind>> = {
	...shortNames,
	...Object.fromEntries(resourceKinds.map(kind => [kind.toLowerCase(), kind])),
};

/**
@param typed - What the operator typed.
@returns The kind, or an error that lists all kinds.
*/
export const kindOf = (typed: string): Either<CtlError, ResourceKind> => {
	const lower = typed.toLowerCase();
	const kind = names[lower] ?? names[lower.replace(/s$/v, '')];
	return kind
		? Right(kind)
		: Left(ctlError(exitCodes.usage, `"${typed}" is not a kind of resource; there are ${resourceKinds.join(', ')}`));
};
