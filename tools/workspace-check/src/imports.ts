import type {Finding} from '@buckthornpoint/errors/findings.js';
import ts from 'typescript';

/** Folders in dependency order: a package may import only from its own folder and from earlier ones. */
export const folderOrder = ['core', 'wire', 'platform', 'node', 'client', 'cli', 'stand-ins', 'tools', 'features'] as const;

/** Packages in this folder must not do I/O. */
const pureFolder = 'core';

/** Packages in these folders must not import packages of the folder node, except for the log. */
const isolatedFolders = new Set(['client', 'cli']);

const ioModules = /^node:(?:net|http|http2|https|dgram|dns|fs|tls|child_process|worker_threads|cluster|timers)|^(?:undici|hono|@hono\/.*|@connectrpc\/.*|hot-shots|consola)$/v;

/** The only package that may use the HTTP library; the library alone accepts answers that are none by the grammar of HTTP/1.1. */
const httpPackage = 'wire/http1/';
const httpLibrary = 'undici';

/** The system's clock and randomness, which may use I/O modules. */
const pureExceptions = new Set(['core/clock/src/system-clock.ts', 'core/clock/src/system-random.ts']);

/** The folder of each package of the workspace, such as `core/clock`, by package name. */
export type PackageFolders = ReadonlyMap<string, string>;

/** Finds the imports of a source file that violate the dependency order, and I/O modules imported in core. */
export function checkImports(file: string, text: string, packages: PackageFolders): readonly Finding[] {
	const folder = file.split('/')[0] ?? '';
	const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
	return source.statements.flatMap(statement => {
		if (!ts.isImportDeclaration(statement) || !ts.isStringLiteral(statement.moduleSpecifier)) {
			return [];
		}

		const specifier = statement.moduleSpecifier.text;
		const isTypeImport = statement.importClause?.phaseModifier === ts.SyntaxKind.TypeKeyword;
		const message = isTypeImport ? checkImport(file, folder, specifier, packages) : checkHttpImport(file, specifier) ?? checkImport(file, folder, specifier, packages);
		const {line, character} = source.getLineAndCharacterOfPosition(statement.getStart(source));
		return message === undefined ? [] : [{code: 'ERR_DOCUMENT_VALUE' as const, message, place: {file, line: line + 1, column: character + 1}}];
	});
}

function checkHttpImport(file: string, specifier: string): string | undefined {
	const isAllowed = specifier !== httpLibrary || file.startsWith(httpPackage) || file.includes('/test/') || file.startsWith('features/');
	return isAllowed ? undefined : `${httpLibrary} must be used through ${httpPackage}, which checks the answers`;
}

function checkImport(file: string, folder: string, specifier: string, packages: PackageFolders): string | undefined {
	if (folder === pureFolder && !pureExceptions.has(file) && ioModules.test(specifier)) {
		return `core must not do I/O, but imports ${specifier}`;
	}

	const name = specifier.split('/').slice(0, 2).join('/');
	const target = packages.get(name)?.split('/')[0];
	if (target === undefined || target === folder || file.includes('/test/')) {
		return undefined;
	}

	const isLaterFolder = folderOrder.indexOf(target as typeof folderOrder[number]) > folderOrder.indexOf(folder as typeof folderOrder[number]); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const isNodeFromIsolated = isolatedFolders.has(folder) && target === 'node' && !specifier.startsWith('@buckthornpoint/log');
	return isLaterFolder || isNodeFromIsolated ? `${folder} must not import from ${target}, but imports ${specifier}` : undefined;
}
