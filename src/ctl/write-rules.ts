/**
What an operator may not write, though its shape is right.
*/
import {type AnyResource, type BatchJob} from '../../typings/resources.js';
import {exitCodes} from '../io/exit-codes.js';
import {ctlError, type CtlError} from './ctl-error.js';
import {differences} from './differences.js';
import {type ResourceKind} from './resource-schemas.js';

type Rule = (wanted: AnyResource, current: AnyResource | undefined) => string | undefined;

const mutableJobKeys = new Set(['cancelled', 'cancelledTime']);

/** The entry accepts jobs, since it packs their input first; an operator may cancel one, and nothing else. */
const jobRule: Rule = (wanted, current) => {
	if (current === undefined) {
		return 'does not exist; submit a job with "job submit"';
	}

	const [before, after] = [(current as BatchJob).spec, (wanted as BatchJob).spec];
	const changed = Object.keys({...before, ...after})
		.filter(key => !mutableJobKeys.has(key))
		.filter(key => differences(before[key as keyof BatchJob['spec']], after[key as keyof BatchJob['spec']]).length > 0);
	if (changed.length > 0) {
		return `only cancelled may change, not ${changed.join(', ')}`;
	}

	// Nodes may have dropped the job's work already.
	return before.cancelled && !after.cancelled ? 'was cancelled, which cannot be taken back' : undefined;
};

const rules: Partial<Record<ResourceKind, Rule>> = {
	BatchJob: jobRule,
};

/** A file that names a generation was made from that one; another has been written since. */
const generationDiffers = (wanted: AnyResource, current: AnyResource | undefined): CtlError | undefined => {
	const meant = wanted.metadata.generation;
	const actual = current?.metadata.generation;
	return meant === undefined || meant === actual || differences(wanted.spec, current?.spec).length === 0
		? undefined
		: ctlError(
			exitCodes.tryAgain,
			`${wanted.kind} ${wanted.metadata.name}: the file is for generation ${meant}, there is ${actual === undefined ? 'none' : `generation ${actual}`} now; nothing was written. What differs between what is there now and the file:`,
			...differences(current?.spec, wanted.spec, 'spec').map(line => `  ${line}`),
		);
};

/**
@param wanted - What an operator wants to write.
@param current - What is there now, if anything.
@returns Why it may not be written, or `undefined` when it may.
*/
export const refusalOf = (wanted: AnyResource, current: AnyResource | undefined): CtlError | undefined => {
	const broken = rules[wanted.kind]?.(wanted, current);
	return broken === undefined
		? generationDiffers(wanted, current)
		: ctlError(exitCodes.settings, `${wanted.kind} ${wanted.metadata.name}: ${broken}`);
};
