/**
How deeply a value from outside is nested. `JSON.parse` takes any depth, but `JSON.stringify` and most other walks recurse, and end with a stack overflow at some ten thousand levels.
*/

/** Levels that a caller's JSON may have. The deepest in use, schemas of tools, have about twenty. */
export const maxJsonDepth = 100;

/**
Whether arrays and objects are nested more than `levels` deep.

@param value - A value as `JSON.parse` returns it.
*/
export const isNestedDeeper = (value: unknown, levels: number = maxJsonDepth): boolean => {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	// Ends at the limit, so that the check itself can not overflow the stack.
	return levels === 0 || Object.values(value).some(inner => isNestedDeeper(inner, levels - 1));
};
