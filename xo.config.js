/** XO rules of the workspace. The abbreviations in `allowList` are common in Node.js and therefore allowed. */
const config = [
	{ignores: ['**/lib/**', '**/generated/**', 'target/**', 'journal/**']},
	{
		files: ['**/*.ts'],
		rules: {
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					opts: true, Opts: true, args: true, env: true,
				},
			}],
			'max-lines': ['error', {max: 300, skipBlankLines: false, skipComments: false}],
			'max-params': ['error', {max: 4}],
			'@typescript-eslint/prefer-readonly-parameter-types': 'off',
			'no-await-in-loop': 'off',
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', name: ['test', 'describe', 'it'], package: 'node:test'}]}],
		},
	},
	{
		// Code that reads from and writes to sockets uses Buffer, the type that the socket API of Node.js uses.
		files: ['wire/frames/**/*.ts', 'wire/http1/**/*.ts', 'node/backend-link/**/*.ts', 'node/peers/**/*.ts', 'node/ingress/**/*.ts', 'node/mesh-daemon/**/*.ts', 'stand-ins/fleet/**/*.ts'],
		rules: {
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['features/**/*.ts'],
		rules: {
			// Cucumber steps are defined by calls of Given, When and Then, which start with a capital letter.
			'new-cap': 'off',
		},
	},
];

export default config;
