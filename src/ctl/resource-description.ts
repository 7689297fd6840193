/**
One resource in full, for people.
*/
import {type Condition} from '../../typings/resources.js';
import {type ReadResource} from './resource-reader.js';

type Entries = Readonly<Record<string, unknown>>;

const indented = (lines: readonly string[]): string[] => lines.map(line => `  ${line}`);

const valueText = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

const entryLines = (entries: Entries): string[] => Object.entries(entries)
	.filter(([, value]) => value !== undefined)
	.map(([key, value]) => `${key}: ${valueText(value)}`);

const conditionLines = ({type, status, reason, message, lastTransitionTime}: Condition): string[] => [
	`${type}: ${status} since ${lastTransitionTime}`,
	`  ${reason}: ${message}`,
];

const statusLines = ({status, metadata}: ReadResource): string[] => {
	if (status === undefined) {
		return ['Status: nothing has been reported yet'];
	}

	const {conditions, progress, ...rest} = status;
	const isOld = status.observedGeneration !== metadata.generation;
	return [
		isOld ? `Status (of generation ${status.observedGeneration}; the newest one is not reported on yet):` : 'Status:',
		...indented(entryLines(rest)),
		...(progress === undefined ? [] : ['Progress:', ...indented(entryLines(progress as Entries))]),
		'Conditions:',
		...indented(conditions.length === 0 ? ['none'] : conditions.flatMap(conditionLines)),
	];
};

/**
@param resource - A resource with its status.
@returns Lines to print.
*/
export const describeLines = (resource: ReadResource): string[] => [
	`${resource.kind} ${resource.metadata.name}`,
	...indented(entryLines({generation: resource.metadata.generation, changeId: resource.metadata.changeId})),
	'Spec:',
	...indented(entryLines(resource.spec)),
	...statusLines(resource),
];
