import {readFileSync} from 'node:fs';
import process from 'node:process';
import {formatFindings, type Finding} from '@buckthornpoint/errors/findings.js';
import {checkImports, type PackageFolders} from './imports.js';
import {checkSignals} from './signals.js';
import {checkFunctionNames, parseVerbs} from './verbs.js';

const standardInput = 0;
const files = readFileSync(standardInput, 'utf8').split('\n').filter(Boolean);
const sources = files.filter(file => file.endsWith('.ts') && !file.includes('/generated/'));
const verbs = parseVerbs(readFileSync('docs/VERBS.md', 'utf8'));
const packages = listPackages(files.filter(file => file.endsWith('package.json')));
const findings = sources.flatMap((file): readonly Finding[] => {
	const text = readFileSync(file, 'utf8');
	const indexFindings: readonly Finding[] = file.endsWith('/index.ts') ? [{code: 'ERR_DOCUMENT_VALUE', message: `${file} is an index file`}] : [];
	return [...indexFindings, ...checkImports(file, text, packages), ...checkFunctionNames(file, text, verbs), ...checkSignals(file, text)];
});

if (findings.length > 0) {
	process.stderr.write(`${formatFindings(findings)}\n`);
	process.exitCode = 1;
} else {
	process.stdout.write(`${sources.length} source files: names and imports as agreed\n`);
}

function listPackages(manifests: readonly string[]): PackageFolders {
	return new Map(manifests.map(file => {
		const {name} = JSON.parse(readFileSync(file, 'utf8')) as {readonly name: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		return [name, file.replace(/\/?package\.json$/v, '')];
	}));
}
