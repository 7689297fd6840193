/**
Checks how deeply an external value is nested. `JSON.parse` accepts any depth, but `JSON.stringify` and most other traversals recurse, and overflow the stack at about ten thousand levels.
*/

/** Maximum nesting of JSON that others have written. The deepest in use, schemas of tools, have about twenty levels. */
export const maxJsonDepth = 100;

/**
Whether arrays and objects are nested more than `levels` deep.

@param value - A value as `JSON.parse` returns it.
*/
export const isNestedDeeper = (value: unknown, levels: number = maxJsonDepth): boolean => {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	// Stops at the limit, so that the check itself can not overflow the stack.
	return levels === 0 || Object.values(value).some(inner => isNestedDeeper(inner, levels - 1));
};
