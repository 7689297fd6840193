/**
What a command of citronctl is: its usage, its options, and a function from the command line to an outcome. Commands print through the context and never end the process themselves.
*/
import {type Either} from 'purify-ts/Either';
import {type CtlContext} from './ctl-context.js';
import {type CtlError} from './ctl-error.js';

/** Options of the command line, by their long names. */
export type Options = Readonly<Record<string, string | undefined>>;

/** One command. */
export type Command = {
	/** `get <kind> [name]`; positional arguments reach `run` in this order. */
	readonly usage: string;
	readonly describe: string;
	/** Own options besides the common ones: flags and help. All take a value. */
	readonly options?: ReadonlyArray<readonly [flags: string, help: string]>;
	readonly example?: string;
	/** What it returns on success has been printed already. */
	readonly run: (context: CtlContext, args: ReadonlyArray<string | undefined>, options: Options) => Promise<Either<CtlError, unknown>>;
};
