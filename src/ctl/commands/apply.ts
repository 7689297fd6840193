/**
`apply` and `validate`: resources from a file.
*/
import {Left, Right, type Either} from 'purify-ts/Either';
import {type AnyResource} from '../../../typings/resources.js';
import {exitCodes} from '../../io/exit-codes.js';
import {type Command, type Options} from '../command.js';
import {type CtlContext} from '../ctl-context.js';
import {ctlError, fromSettingsError, type CtlError} from '../ctl-error.js';
import {readResources} from '../resource-file.js';
import {ResourceWriter} from '../resource-writer.js';

const fileOption = ['-f, --file', 'A file of JSON with comments: one resource, or a list of several'] as const;

const titleOf = ({kind, metadata}: AnyResource): string => `${kind} ${metadata.name}`;

const fileOf = ({file}: Options): Either<CtlError, string> => file === undefined
	? Left(ctlError(exitCodes.usage, 'give the file with -f FILE'))
	: Right(file);

const resourcesOf = (options: Options): Either<CtlError, readonly AnyResource[]> => fileOf(options)
	.chain(file => readResources(file).mapLeft(fromSettingsError));

/** One failure does not keep the others from being applied: they do not depend on each other's being written first. */
const applyAll = async (writer: ResourceWriter, resources: readonly AnyResource[], {output}: CtlContext): Promise<Either<CtlError, void>> => {
	const errors: CtlError[] = [];
	for (const resource of resources) {
		const outcome = await writer.apply(resource);
		outcome.ifLeft(err => errors.push(err)).ifRight(done => {
			output.print(`${titleOf(resource)} ${done}`);
		});
	}

	const [first] = errors;
	return first ? Left({exitCode: first.exitCode, lines: errors.flatMap(({lines}) => lines)}) : Right(undefined);
};

/** Writes what stands in a file. */
export const applyCommand: Command = {
	usage: 'apply',
	describe: 'Create or change the resources in a file',
	options: [fileOption],
	example: 'apply -f resources.jsonc',
	async run(context, _args, options) {
		const ready = resourcesOf(options).chain(resources => context.objectApi().map(api => ({resources, api})));
		if (ready.isLeft()) {
			return ready;
		}

		const {resources, api} = ready.unsafeCoerce();
		return applyAll(new ResourceWriter({...context, api}), resources, context);
	},
};

/** Checks a file and changes nothing. */
export const validateCommand: Command = {
	usage: 'validate',
	describe: 'Check the resources in a file; nothing is changed',
	options: [fileOption],
	example: 'validate -f resources.jsonc',
	async run({output}, _args, options) {
		return resourcesOf(options).ifRight(resources => {
			resources.forEach(resource => {
				output.print(`${titleOf(resource)} is valid`);
			});
		});
	},
};
