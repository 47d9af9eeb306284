import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkImports} from '../src/imports.js';
import {checkFunctionNames} from '../src/verbs.js';

const packages = new Map([['@buckthornpoint/cell', 'node/cell'], ['@buckthornpoint/clock', 'core/clock']]);

test('an import of an I/O module in core is reported with its location', () => {
	const findings = checkImports('core/routing/src/a.ts', '\nimport net from \'node:net\';\n', packages);
	assert.deepEqual(findings.map(({place}) => place), [{file: 'core/routing/src/a.ts', line: 2, column: 1}]);
});

test('an import from a later folder is reported', () => {
	assert.equal(checkImports('core/routing/src/a.ts', 'import {CellTask} from \'@buckthornpoint/cell/cell-task.js\';', packages).length, 1);
	assert.equal(checkImports('node/cell/src/a.ts', 'import {Clock} from \'@buckthornpoint/clock/clock.js\';', packages).length, 0);
});

test('the HTTP library is used only by the package that checks its answers', () => {
	assert.equal(checkImports('platform/fleet/src/a.ts', 'import {request} from \'undici\';', packages).length, 1);
	assert.equal(checkImports('platform/fleet/src/a.ts', 'import type {Pool} from \'undici\';', packages).length, 0);
	assert.equal(checkImports('wire/http1/src/a.ts', 'import {Pool} from \'undici\';', packages).length, 0);
});

test('a function whose name does not begin with a listed verb is reported', () => {
	const findings = checkFunctionNames('a.ts', 'function routeMap() {}\nfunction readMap() {}', new Set(['read']));
	assert.deepEqual(findings.map(({place}) => place?.line), [1]);
});
