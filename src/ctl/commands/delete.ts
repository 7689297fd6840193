/**
`delete`: takes a resource away, unless it has changed since it was read.
*/
import {type Command} from '../command.js';
import {kindOf} from '../kind-names.js';
import {ResourceWriter} from '../resource-writer.js';

/** Deletes one resource. */
export const deleteCommand: Command = {
	usage: 'delete <kind> <name>',
	describe: 'Delete one resource',
	async run(context, [typedKind = '', name = '']) {
		const ready = kindOf(typedKind).chain(kind => context.objectApi().map(api => ({kind, api})));
		if (ready.isLeft()) {
			return ready;
		}

		const {kind, api} = ready.unsafeCoerce();
		const outcome = await new ResourceWriter({...context, api}).remove(kind, name);
		return outcome.ifRight(done => {
			context.output.print(`${kind} ${name} ${done}`);
		});
	},
};
