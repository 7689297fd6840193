/**
The control routes that stand-ins have in common.
*/
import type {z} from 'zod';
import type {Handler} from './route-table.js';

/**
Makes the handler of `POST /control/faults`: checks the body and hands it on. Answers with the faults in force, or 400 when the body does not fit.

@param apply - Takes the change and returns the faults in force.
*/
export const faultsRoute = <T extends z.ZodType>(schema: T, apply: (changes: z.infer<T>) => unknown): Handler => async exchange => {
	const body = await exchange.json();
	body.caseOf({
		Left(err) {
			exchange.send(err.status, {error: err.message});
		},
		Right(value) {
			const parsed = schema.safeParse(value);
			exchange.send(parsed.success ? 200 : 400, parsed.success ? apply(parsed.data) : {error: parsed.error.message});
		},
	});
};
