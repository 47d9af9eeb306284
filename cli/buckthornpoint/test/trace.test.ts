import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseLogLine} from '../src/trace/log-line.js';
import {splitLines} from '../src/trace/split-lines.js';
import {findMove} from '../src/trace/nearby-lines.js';
import {
	createQuery, formatNodeLine, startMs, findCause,
} from './log-fixtures.js';

const refusal = {
	requestId: 'r1', key: 27_856, status: 503, reason: 'not-held', tries: ['vm-b: not-held'], tookMs: 5,
};

test('a line is parsed after the prefix of a collector; input that is not a line of a node is rejected', () => {
	const text = formatNodeLine(7, 'vm-a', 'node-stopping');
	assert.deepEqual(parseLogLine(`  27.4130 vm-a ${text}`), {
		timeMs: startMs + 7, event: 'node-stopping', vmId: 'vm-a', prefix: '  27.4130 vm-a ', data: JSON.parse(text) as unknown,
	});
	assert.equal(parseLogLine(text)?.prefix, '');
	for (const broken of ['', 'npm warn', '[1]', text.slice(0, -1), '{"event":"node-stopping"}', '{"time":"yesterday","event":"x"}', '{"time":1,"event":"x"}', 'null']) {
		assert.equal(parseLogLine(broken), undefined, broken);
	}
});

test('lines of an id and of calls made for it are ordered by time over all sources; unreadable lines are counted', () => {
	const {findings} = findCause({
		one: [formatNodeLine(30, 'vm-a', 'request-refused', refusal), 'Killed', '', formatNodeLine(31, 'vm-a', 'request-refused', {...refusal, requestId: 'r11'})],
		two: [`x ${formatNodeLine(10, 'vm-b', 'owner-refused', {requestId: 'r1'})}`, '{"time":', formatNodeLine(20, 'vm-b', 'owner-refused', {requestId: 'r1.c1'})],
	});
	assert.deepEqual(findings.lines.map(({timeMs, data}) => [timeMs - startMs, data.requestId]), [[10, 'r1'], [20, 'r1.c1'], [30, 'r1']]);
	assert.deepEqual([findings.readLines, findings.unreadableLines, findings.linesLeftOut], [6, 2, 0]);
	assert.deepEqual(findings.spans.get('vm-a'), {firstMs: startMs + 30, lastMs: startMs + 31, lines: 2});
});

test('lines of an id in excess of the limit are counted', () => {
	const {findings} = findCause({one: Array.from({length: 1003}, (_, index) => formatNodeLine(index, 'vm-a', 'request-refused', refusal))});
	assert.deepEqual([findings.lines.length, findings.linesLeftOut], [1000, 3]);
});

test('nearby lines are those of the nodes of the request, within the window, that can explain its result', () => {
	const {around} = findCause({
		all: [
			formatNodeLine(4994, 'vm-b', 'backend-state', {state: 'too early'}),
			formatNodeLine(4995, 'vm-b', 'backend-state', {state: 'gone'}),
			formatNodeLine(9000, 'vm-c', 'backend-state', {state: 'of a node that the request did not see'}),
			formatNodeLine(9100, 'vm-c', 'control-event', {kind: 'maps-written'}),
			formatNodeLine(9200, 'vm-c', 'control-event', {kind: 'controller-found'}),
			formatNodeLine(9300, 'vm-c', 'control-event', {kind: 'moves-planned', detail: JSON.stringify({moves: '1-9 a>b'})}),
			formatNodeLine(9400, 'vm-c', 'control-event', {kind: 'moves-planned', detail: JSON.stringify({moves: '1-9 a>b 27856-27860 a>c'})}),
			formatNodeLine(9500, 'vm-a', 'request-refused', {...refusal, requestId: 'r2'}),
			formatNodeLine(10_000, 'vm-a', 'request-refused', refusal),
			formatNodeLine(15_000, 'vm-a', 'node-stopping'),
			formatNodeLine(15_001, 'vm-a', 'node-stopped'),
		],
	});
	assert.deepEqual(around, [
		[4995, 'vm-b', 'backend-state'], [9100, 'vm-c', 'control-event'], [9400, 'vm-c', 'control-event'], [15_000, 'vm-a', 'node-stopping'],
	]);
});

test('the writer of a line that names another node is found from the prefix, or is the only VM of its source', () => {
	const lost = formatNodeLine(100, '10.0.0.2:8083', 'peer-failed');
	const own = formatNodeLine(90, 'vm-a', 'request-refused', refusal);
	const other = formatNodeLine(90, 'vm-c', 'node-stopping');
	const listWriters = (sources: Readonly<Record<string, readonly string[]>>): unknown => findCause(sources).around.filter(line => line[2] === 'peer-failed');
	assert.deepEqual(listWriters({one: [own, lost]}), [[100, 'vm-a', 'peer-failed']]);
	assert.deepEqual(listWriters({one: [own, other, `1.0 vm-a | ${lost}`]}), [[100, 'vm-a', 'peer-failed']]);
	assert.deepEqual(listWriters({one: [own, other, `vm-c ${lost}`]}), []);
	assert.deepEqual(listWriters({one: [own, other, lost]}), [[100, undefined, 'peer-failed']]);
});

test('without a line and a time there are no nearby lines; with a time there are those of the entry node', () => {
	const line = formatNodeLine(1000, 'vm-a', 'node-stopping');
	assert.deepEqual(findCause({one: [line]}).around, []);
	assert.deepEqual(findCause({one: [line]}, createQuery({sentMs: startMs + 900, entryVm: 'vm-a'})).around, [[1000, 'vm-a', 'node-stopping']]);
	assert.deepEqual(findCause({one: [line]}, createQuery({sentMs: startMs + 900, entryVm: 'vm-b'})).around, []);
});

test('the move of a key is found by the range that contains it', () => {
	const line = parseLogLine(formatNodeLine(0, 'vm-a', 'control-event', {kind: 'moves-planned', detail: JSON.stringify({epoch: 1, moves: '0-9 a/1>b/2 20-20 a/1>c/3'})}));
	assert.ok(line !== undefined);
	assert.deepEqual([0, 9, 10, 20, 21].map(key => findMove(line, key)), ['0-9 a/1>b/2', '0-9 a/1>b/2', undefined, '20-20 a/1>c/3', undefined]);
});

test('text that arrives in chunks is split into lines; a line over the length limit yields undefined', async () => {
	async function * sendChunks(chunks: readonly string[]): AsyncGenerator<string> {
		yield * chunks;
	}

	const listLines = async (...chunks: readonly string[]): Promise<unknown> => {
		const lines: Array<string | undefined> = [];
		for await (const line of splitLines(sendChunks(chunks), 4)) {
			lines.push(line);
		}

		return lines;
	};

	assert.deepEqual(await listLines('ab\nc', 'd\n', '\nef'), ['ab', 'cd', '', 'ef']);
	assert.deepEqual(await listLines('abc', 'def', 'ghi', 'j\nkl\nmnopq\nr'), [undefined, 'kl', undefined, 'r']);
	assert.deepEqual(await listLines('ab\nabcde'), ['ab', undefined]);
	assert.deepEqual(await listLines(), []);
});
