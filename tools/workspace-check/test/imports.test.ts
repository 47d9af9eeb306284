import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkImports} from '../src/imports.js';
import {checkFunctionNames} from '../src/verbs.js';

const packages = new Map([['@buckthornpoint/cell', 'node/cell'], ['@buckthornpoint/clock', 'core/clock']]);

test('an import of a socket in core is a finding with its place', () => {
	const findings = checkImports('core/routing/src/a.ts', '\nimport net from \'node:net\';\n', packages);
	assert.deepEqual(findings.map(({place}) => place), [{file: 'core/routing/src/a.ts', line: 2, column: 1}]);
});

test('an import against the direction of folders is a finding', () => {
	assert.equal(checkImports('core/routing/src/a.ts', 'import {CellTask} from \'@buckthornpoint/cell/cell-task.js\';', packages).length, 1);
	assert.equal(checkImports('node/cell/src/a.ts', 'import {Clock} from \'@buckthornpoint/clock/clock.js\';', packages).length, 0);
});

test('a function whose name begins with no verb of the list is a finding', () => {
	const findings = checkFunctionNames('a.ts', 'function routeMap() {}\nfunction readMap() {}', new Set(['read']));
	assert.deepEqual(findings.map(({place}) => place?.line), [1]);
});
