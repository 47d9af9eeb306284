/** The rules of XO for the whole workspace, with the customary short names that this code keeps. */
const config = [
	{ignores: ['**/lib/**', '**/generated/**']},
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
		files: ['features/**/*.ts'],
		rules: {
			// The steps of cucumber are calls with capital letters.
			'new-cap': 'off',
		},
	},
];

export default config;
