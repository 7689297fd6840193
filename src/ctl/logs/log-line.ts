/**
A line of a process's structured log, as commands that explain the past read it.
*/

/** A line of a log. */
export type LogLine = {
	readonly event: number;
	/** ISO 8601; processes' clocks may differ by some milliseconds. */
	readonly time: string;
	/** The process that wrote it. */
	readonly node: string;
	readonly msg: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

const frameFields = new Set(['event', 'time', 'node', 'program', 'level', 'msg']);

/** @returns The field's text, or the default where it is none. */
export const textOf = (value: unknown, byDefault = ''): string => typeof value === 'string' ? value : byDefault;

const parsed = (text: string): Record<string, unknown> | undefined => {
	try {
		const value = JSON.parse(text) as unknown;
		return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined;
	} catch {
		return undefined;
	}
};

/**
@param line - A line of a log; what a collector has put before the JSON is left out.
@returns Nothing where the line is no event.
*/
export const readLogLine = (line: string): LogLine | undefined => {
	const begin = line.indexOf('{');
	const value = begin === -1 ? undefined : parsed(line.slice(begin));
	if (!value || typeof value.event !== 'number') {
		return undefined;
	}

	const fields = Object.fromEntries(Object.entries(value).filter(([name]) => !frameFields.has(name)));
	return {
		event: value.event, time: textOf(value.time), node: textOf(value.node, textOf(value.program)), msg: textOf(value.msg), fields,
	};
};
