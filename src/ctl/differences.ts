/**
What differs between two JSON values, key by key, for the message of a conflict.
*/

type Entries = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is Entries => typeof value === 'object' && value !== null && !Array.isArray(value);

const shown = (value: unknown): string => value === undefined ? '(none)' : JSON.stringify(value);

/**
Compares two JSON values regardless of the order of keys.

@param before - The one.
@param after - The other.
@param path - Where both stand.
@returns One line for each key that differs: `spec.replicas: 3 -> 5`. Empty when they are equal.
*/
export const differences = (before: unknown, after: unknown, path = ''): string[] => {
	if (isObject(before) && isObject(after)) {
		const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].toSorted();
		return keys.flatMap(key => differences(before[key], after[key], path === '' ? key : `${path}.${key}`));
	}

	return canonical(before) === canonical(after) ? [] : [`${path}: ${shown(before)} -> ${shown(after)}`];
};

/** Keys in one order, so that equal values have equal texts. */
const canonical = (value: unknown): string | undefined => JSON.stringify(value, (_key, inner: unknown) => isObject(inner)
	? Object.fromEntries(Object.entries(inner).toSorted(([a], [b]) => (a < b ? -1 : 1)))
	: inner);
