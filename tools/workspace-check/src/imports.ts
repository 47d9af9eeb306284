import type {Finding} from '@buckthornpoint/errors/findings.js';
import ts from 'typescript';

/** Folders in the order of imports: a package imports from its own folder and from those before it. */
export const folderOrder = ['core', 'wire', 'platform', 'node', 'client', 'cli', 'stand-ins', 'tools', 'features'] as const;

const pureFolder = 'core';
const isolatedFolders = new Set(['client', 'cli']);
const ioModules = /^node:(?:net|http|http2|https|dgram|dns|fs|tls|child_process|worker_threads|cluster|timers)|^(?:undici|hono|@hono\/.*|@connectrpc\/.*|hot-shots|consola)$/v;
const pureExceptions = new Set(['core/clock/src/system-clock.ts', 'core/clock/src/system-random.ts']);

/** Where each package of the workspace lives, by package name: `core/clock`. */
export type PackageFolders = ReadonlyMap<string, string>;

/** Finds the imports of a source file that go against the direction of imports. */
export function checkImports(file: string, text: string, packages: PackageFolders): readonly Finding[] {
	const folder = file.split('/')[0] ?? '';
	const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
	return source.statements.flatMap(statement => {
		if (!ts.isImportDeclaration(statement) || !ts.isStringLiteral(statement.moduleSpecifier)) {
			return [];
		}

		const message = judgeImport(file, folder, statement.moduleSpecifier.text, packages);
		const {line, character} = source.getLineAndCharacterOfPosition(statement.getStart(source));
		return message === undefined ? [] : [{code: 'ERR_DOCUMENT_VALUE' as const, message, place: {file, line: line + 1, column: character + 1}}];
	});
}

function judgeImport(file: string, folder: string, specifier: string, packages: PackageFolders): string | undefined {
	if (folder === pureFolder && !pureExceptions.has(file) && ioModules.test(specifier)) {
		return `core does no input or output, but imports ${specifier}`;
	}

	const name = specifier.split('/').slice(0, 2).join('/');
	const target = packages.get(name)?.split('/')[0];
	if (target === undefined || target === folder || file.includes('/test/')) {
		return undefined;
	}

	const isLater = folderOrder.indexOf(target as typeof folderOrder[number]) > folderOrder.indexOf(folder as typeof folderOrder[number]); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const isNode = isolatedFolders.has(folder) && target === 'node' && !specifier.startsWith('@buckthornpoint/log');
	return isLater || isNode ? `${folder} does not import from ${target}, but imports ${specifier}` : undefined;
}
