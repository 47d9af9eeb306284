import type {Finding} from '@buckthornpoint/errors/findings.js';
import ts from 'typescript';

/** Parses the verbs in the tables of docs/VERBS.md. */
export function parseVerbs(markdown: string): ReadonlySet<string> {
	const verbCells = markdown.split('\n').filter(line => line.startsWith('| `')).map(line => line.split('|')[1] ?? '');
	return new Set(verbCells.flatMap(cell => [...cell.matchAll(/`([a-z]+)`/gv)].map(match => match[1] ?? '')));
}

/** Finds the functions and methods of a source file whose name does not begin with one of the verbs. */
export function checkFunctionNames(file: string, text: string, verbs: ReadonlySet<string>): readonly Finding[] {
	const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
	const findings: Finding[] = [];
	const visit = (node: ts.Node): void => {
		const name = getFunctionName(node);
		if (name !== undefined && !verbs.has(getFirstWord(name.text))) {
			findings.push(createFinding(source, name, file));
		}

		ts.forEachChild(node, visit);
	};

	visit(source);
	return findings;
}

function createFinding(source: ts.SourceFile, name: ts.Identifier | ts.PrivateIdentifier, file: string): Finding {
	const {line, character} = source.getLineAndCharacterOfPosition(name.getStart(source));
	return {
		code: 'ERR_DOCUMENT_VALUE',
		message: `the function name ${name.text} does not begin with a verb of docs/VERBS.md`,
		place: {file, line: line + 1, column: character + 1},
	};
}

function getFunctionName(node: ts.Node): ts.Identifier | ts.PrivateIdentifier | undefined {
	const isNamed = (ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node)) && node.name !== undefined;
	if (!isNamed || node.parent.kind === ts.SyntaxKind.ObjectLiteralExpression) {
		return undefined;
	}

	const {name} = node;
	return name !== undefined && (ts.isIdentifier(name) || ts.isPrivateIdentifier(name)) ? name : undefined;
}

function getFirstWord(name: string): string {
	return /^#?([a-z]+)/v.exec(name)?.[1] ?? '';
}
