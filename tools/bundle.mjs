/** Bundles the fleet node from the TypeScript sources of the workspace into a small entry file and the chunks that it loads. */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {build} from 'esbuild';

const root = path.resolve(import.meta.dirname, '..');
const folders = listPackages();

await build({
	entryPoints: {'buckthornpoint-mesh-node': path.join(root, 'node/mesh-daemon/src/main.ts')},
	outdir: path.join(root, 'target'),
	outExtension: {'.js': '.mjs'},
	chunkNames: '[name]-[hash]',
	bundle: true,
	splitting: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	// The UMD builds of some packages can't be bundled, so their ES modules are preferred.
	mainFields: ['module', 'main'],
	conditions: ['node', 'import'],
	minifySyntax: true,
	legalComments: 'none',
	logLevel: 'warning',
	// Bundled CommonJS packages call `require`, which ES modules don't define.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
	plugins: [{
		name: 'workspace-sources',
		setup(bundler) {
			// The filter is evaluated by esbuild as a Go regular expression, which does not support the v flag.
			bundler.onResolve({filter: /^@buckthornpoint\//}, ({path: specifier}) => { // eslint-disable-line require-unicode-regexp
				const [scope, name, ...rest] = specifier.split('/');
				const folder = folders.get(`${scope}/${name}`);
				const file = rest.join('/').replace(/\.js$/v, '.ts');
				return folder === undefined || file === '' ? undefined : {path: path.join(folder, 'src', file)};
			});
		},
	}],
});

function listPackages() {
	const {workspaces} = JSON.parse(readFileSync(path.join(root, 'package.json'), 'utf8'));
	const directories = workspaces.flatMap(pattern => pattern.endsWith('/*')
		? readdirSync(path.join(root, pattern.slice(0, -2))).map(name => path.join(root, pattern.slice(0, -2), name))
		: [path.join(root, pattern)]);
	return new Map(directories.filter(directory => existsSync(path.join(directory, 'package.json'))).map(directory =>
		[JSON.parse(readFileSync(path.join(directory, 'package.json'), 'utf8')).name, directory]));
}

