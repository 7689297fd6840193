/**
XO's rules as they come, but for the users' house style, which goes before them.
*/
const houseStyle = {
	// Control flow by array methods.
	'unicorn/no-array-for-each': 'off',
	'unicorn/no-array-reduce': 'off',
	'unicorn/no-array-callback-reference': 'off',
	// Short names where custom has them.
	'unicorn/prevent-abbreviations': ['error', {
		allowList: {
			req: true, res: true, cfg: true, err: true, args: true, params: true, env: true, dir: true, src: true, ctl: true, fn: true, i: true, rpc: true,
		},
	}],
	'unicorn/catch-error-name': ['error', {name: 'err'}],
	// Emitters stay private to a class; Node's own costs less than EventTarget.
	'unicorn/prefer-event-target': 'off',
	// The callers' API has snake_case fields and null values.
	'@typescript-eslint/naming-convention': 'off',
	'@typescript-eslint/no-restricted-types': 'off',
	camelcase: 'off',
	// Retries and ordered commits are sequential on purpose.
	'no-await-in-loop': 'off',
	// The constructors of purify-ts are functions.
	'new-cap': ['error', {newIsCap: true, capIsNewExceptions: ['Left', 'Right', 'Just', 'Maybe', 'Either', 'EitherAsync', 'Given', 'When', 'Then', 'Before', 'After', 'BeforeAll', 'AfterAll']}],
	// Prose at the head of a module is one line a paragraph.
	'@stylistic/max-len': 'off',
	// Parsed JSON is checked by a schema or comes from our own process; the assertion names its shape.
	'@typescript-eslint/no-unsafe-type-assertion': 'off',
};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['dist/**', 'node_modules/**']},
	{files: ['**/*.{js,ts}'], rules: houseStyle},
];

export default config;
