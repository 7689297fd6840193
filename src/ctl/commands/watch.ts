/**
`watch`: shows changes as they happen, until the operator ends it.
*/
import {Right} from 'purify-ts/Either';
import {type Command} from '../command.js';
import {type Output} from '../ctl-context.js';
import {fromApiError} from '../ctl-error.js';
import {kindOf} from '../kind-names.js';
import {type ResourceKind} from '../resource-schemas.js';
import {tableLines} from '../resource-table.js';
import {ResourceWatcher, type Sighting} from '../resource-watcher.js';

const printers: Readonly<Record<Output['format'], (output: Output, kind: ResourceKind, sighting: Sighting) => void>> = {
	json({print}, _kind, sighting) {
		print(JSON.stringify(sighting));
	},
	table({print}, kind, {name, resource}) {
		print(resource ? tableLines(kind, [resource])[1] ?? name : `${name}  (deleted)`);
	},
};

/** Follows a kind or one resource. */
export const watchCommand: Command = {
	usage: 'watch <kind> [name]',
	describe: 'Show the resources of a kind, or one of them, and each change until Ctrl-C',
	async run(context, [typedKind = '', name]) {
		const {output, clock, signal} = context;
		const ready = kindOf(typedKind).chain(kind => context.objectApi().map(api => ({kind, api})));
		if (ready.isLeft()) {
			return ready;
		}

		const {kind, api} = ready.unsafeCoerce();
		const watcher = new ResourceWatcher({
			api, clock, kind, name,
			onSighting(sighting) {
				printers[output.format](output, kind, sighting);
			},
			onTrouble(err) {
				fromApiError(err, `watch ${kind}`).lines.forEach(line => {
					output.tell(line);
				});
			},
		});
		await watcher.run(signal);
		return Right(undefined);
	},
};
