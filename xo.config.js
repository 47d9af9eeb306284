/** The rules of XO for the whole workspace, with the customary short names that this code keeps. */
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
		// What reads and writes bytes of sockets works on the buffers that sockets give and take.
		files: ['wire/frames/**/*.ts', 'node/backend-link/**/*.ts', 'node/peers/**/*.ts', 'node/ingress/**/*.ts', 'node/mesh-daemon/**/*.ts', 'stand-ins/fleet/**/*.ts'],
		rules: {
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['features/**/*.ts'],
		rules: {
			// The steps of cucumber are calls with capital letters.
			'new-cap': 'off',
		},
	},
];

export default config;
