/**
Resources as a table for people: common columns for all kinds, and those that matter for the kind.
*/
import type {BackendServerSpec, Condition} from '../../typings/resources.js';
import {type ReadResource} from './resource-reader.js';
import {type ResourceKind} from './resource-schemas.js';

type Column = {
	readonly title: string;
	readonly value: (resource: ReadResource) => unknown;
};

const inSpec = (key: string, byDefault: unknown = '-') => (resource: ReadResource): unknown => (resource.spec as unknown as Record<string, unknown>)[key] ?? byDefault;

const progress = (key: string) => (resource: ReadResource): unknown => (resource.status?.progress as Record<string, unknown> | undefined)?.[key] ?? '-';

const inForce = ({status, metadata}: ReadResource): string => {
	if (status?.nodesKnown === undefined) {
		return '-';
	}

	const nodes = status.observedGeneration === metadata.generation ? status.nodesInForce ?? 0 : 0;
	return `${nodes}/${status.nodesKnown}`;
};

const serves = ({spec}: ReadResource): string => {
	const {service, models} = spec as BackendServerSpec;
	return service ?? models?.join(',') ?? '-';
};

const columns: Readonly<Record<ResourceKind, readonly Column[]>> = {
	ServedModel: [{title: 'VERSION', value: inSpec('version')}, {title: 'REPLICAS', value: inSpec('replicas', 'all')}],
	ModelVersion: [{title: 'WEIGHTS', value: inSpec('weights')}, {title: 'ADAPTER', value: inSpec('adapter')}],
	OnlineService: [{title: 'TIMEOUT-MS', value: inSpec('timeoutMs', 30_000)}],
	BackendServer: [{title: 'TYPE', value: inSpec('type')}, {title: 'SERVES', value: serves}],
	ClientAccount: [{title: 'SHARE', value: inSpec('share', 1)}, {title: 'IN-FLIGHT', value: inSpec('maxInFlight', 1000)}],
	BatchJob: [{title: 'ACCOUNT', value: inSpec('account')}, {title: 'DUE', value: inSpec('dueTime')}, {title: 'STATE', value: progress('state')}],
};

const common: readonly Column[] = [
	{title: 'NAME', value: ({metadata}) => metadata.name},
	{title: 'GENERATION', value: ({metadata}) => metadata.generation ?? '-'},
	{title: 'IN-FORCE', value: inForce},
];

const conditionText = ({type, status}: Condition): string => `${type}=${status}`;

const conditionsText = (conditions: readonly Condition[] = []): string => conditions.length === 0 ? '-' : conditions.map(conditionText).join(' ');

const conditions: Column = {title: 'CONDITIONS', value: ({status}) => conditionsText(status?.conditions)};

/**
@param rows - Cells, the titles first.
@returns Lines in aligned columns.
*/
export const alignedLines = (rows: ReadonlyArray<readonly string[]>): string[] => {
	const widths = (rows[0] ?? []).map((_title, i) => Math.max(...rows.map(row => row[i]?.length ?? 0)));
	return rows.map(row => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd());
};

/**
@param kind - The kind of all the resources.
@param resources - What to show.
@returns A line of titles and one for each resource.
*/
export const tableLines = (kind: ResourceKind, resources: readonly ReadResource[]): string[] => {
	const shown = [...common, ...columns[kind], conditions];
	return alignedLines([shown.map(({title}) => title), ...resources.map(resource => shown.map(({value}) => String(value(resource))))]);
};
