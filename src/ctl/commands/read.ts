/**
`get`, `describe` and `status`: what is there, and what the system reports of it.
*/
import {Right, type Either} from 'purify-ts/Either';
import {type Command} from '../command.js';
import {type CtlContext, type Output} from '../ctl-context.js';
import {fromApiError, type CtlError} from '../ctl-error.js';
import {kindOf} from '../kind-names.js';
import {describeLines} from '../resource-description.js';
import {ResourceReader, type ReadResource} from '../resource-reader.js';
import {type ResourceKind} from '../resource-schemas.js';
import {alignedLines, tableLines} from '../resource-table.js';

type Target = {readonly reader: ResourceReader; readonly kind: ResourceKind};

const targetOf = (context: CtlContext, typedKind = ''): Either<CtlError, Target> => kindOf(typedKind)
	.chain(kind => context.objectApi().map(api => ({kind, reader: new ResourceReader(api)})));

const printJson = ({print}: Output, value: unknown): void => {
	print(JSON.stringify(value, undefined, '\t'));
};

const printLines = ({print}: Output, lines: readonly string[]): void => {
	lines.forEach(line => {
		print(line);
	});
};

const readOne = async ({reader, kind}: Target, name: string): Promise<Either<CtlError, ReadResource>> => {
	const read = await reader.read(kind, name);
	return read.mapLeft(err => fromApiError(err, `${kind} ${name}`));
};

const readNamed = async (target: Target, name: string): Promise<Either<CtlError, readonly ReadResource[]>> => {
	const read = await readOne(target, name);
	return read.map(resource => [resource]);
};

const readAll = async ({reader, kind}: Target): Promise<Either<CtlError, readonly ReadResource[]>> => {
	const read = await reader.readAll(kind);
	return read.bimap(err => fromApiError(err, kind), ({resources}) => resources);
};

/** Lists resources of a kind, or one. */
export const getCommand: Command = {
	usage: 'get <kind> [name]',
	describe: 'Show the resources of a kind, or one of them',
	example: 'get ServedModel tyre-scribe -o json',
	async run(context, [typedKind, name]) {
		const {output} = context;
		const target = targetOf(context, typedKind);
		if (target.isLeft()) {
			return target;
		}

		const {kind, reader} = target.unsafeCoerce();
		const read = name === undefined
			? await readAll({kind, reader})
			: await readNamed({kind, reader}, name);
		return read.ifRight(resources => {
			if (output.format === 'json') {
				printJson(output, name === undefined ? resources : resources[0]);
			} else {
				printLines(output, tableLines(kind, resources));
			}
		});
	},
};

/** Tells all about one resource. */
export const describeCommand: Command = {
	usage: 'describe <kind> <name>',
	describe: 'Tell all about one resource: what it asks for, and what the system reports',
	async run(context, [typedKind, name = '']) {
		const {output} = context;
		const target = targetOf(context, typedKind);
		if (target.isLeft()) {
			return target;
		}

		const read = await readOne(target.unsafeCoerce(), name);
		return read.ifRight(resource => {
			if (output.format === 'json') {
				printJson(output, resource);
			} else {
				printLines(output, describeLines(resource));
			}
		});
	},
};

/** How many resources there are, and whether the configuration is in force. */
export const statusCommand: Command = {
	usage: 'status',
	describe: 'Count the resources, and show whether models and services are in force',
	async run(context) {
		const {output} = context;
		const api = context.objectApi();
		if (api.isLeft()) {
			return api;
		}

		const reader = new ResourceReader(api.unsafeCoerce());
		const counts = await reader.counts();
		if (counts.isLeft()) {
			return counts.mapLeft(err => fromApiError(err, 'status'));
		}

		const models = await readAll({kind: 'ServedModel', reader});
		const services = await readAll({kind: 'OnlineService', reader});
		return models.chain(servedModels => services.chain(onlineServices => {
			printStatus(output, counts.unsafeCoerce(), {ServedModel: servedModels, OnlineService: onlineServices});
			return Right(undefined);
		}));
	},
};

const printStatus = (output: Output, counts: ReadonlyMap<ResourceKind, number>, shown: Readonly<Partial<Record<ResourceKind, readonly ReadResource[]>>>): void => {
	if (output.format === 'json') {
		printJson(output, {counts: Object.fromEntries(counts), ...shown});
		return;
	}

	printLines(output, alignedLines([['KIND', 'COUNT'], ...[...counts].map(([kind, count]) => [kind, String(count)])]));
	Object.entries(shown).forEach(([kind, resources]) => {
		printLines(output, ['', kind, ...tableLines(kind as ResourceKind, resources)]);
	});
};
