import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {after, test} from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {exitCodes} from '../src/exit-codes.js';
import {listLogFiles, readChunks} from '../src/log-files.js';
import {runCommandLine} from '../src/run-command-line.js';
import {formatNodeLine} from './log-fixtures.js';

const refusal = formatNodeLine(10_000, 'vm-a', 'request-refused', {
	requestId: '0123456789', tries: ['vm-b: cold'], tookMs: 5, status: 503, reason: 'cold',
});
const state = formatNodeLine(9000, 'vm-b', 'backend-state', {state: 'ready', coldMs: 3000, reason: 'a new run'});

async function runLogs(args: readonly string[], input = ''): Promise<{readonly exitCode: number; readonly out: string; readonly err: string}> {
	const out: string[] = [];
	const error: string[] = [];
	const exitCode = await runCommandLine(['logs', ...args], {
		clock: new ManualClock(),
		env: {},
		print(text) {
			out.push(text);
		},
		report(text) {
			error.push(text);
		},
		readFile: async () => '',
		listLogFiles,
		async * readChunks(name) {
			yield * name === '-' ? [input] : readChunks(name);
		},
		generateId: () => '',
		signal: new AbortController().signal,
	});
	return {exitCode, out: out.join('\n'), err: error.join('\n')};
}

const folder = await mkdtemp(path.join(tmpdir(), 'buckthornpoint-logs-'));

after(async () => {
	await rm(folder, {recursive: true});
});

test('a folder, single files and standard input give the same output, which ends with the cause', async () => {
	await writeFile(path.join(folder, 'a.log'), `1.0 vm-a ${refusal}\nnot JSON\n`);
	await writeFile(path.join(folder, 'b.log'), `${state}\n`);
	await writeFile(path.join(folder, 'other.txt'), 'not a log\n');
	const expected = [
		'request 0123456789, lines: 1, VMs: 1',
		'  2026-06-07T15:44:10.000Z  vm-a                      request-refused requestId=0123456789 tries=["vm-b: cold"] tookMs=5 status=503 reason=cold',
		'around it, 2026-06-07T15:44:04.995Z to 2026-06-07T15:44:15.000Z, vm-a, vm-b:',
		'  2026-06-07T15:44:09.000Z  vm-b                      backend-state state=ready coldMs=3000 reason=a new run',
		'read 3 lines of 2 VMs; 1 could not be read',
		'note: no line of vm-b for this request: the lines of vm-b end at 2026-06-07T15:44:09.000Z, before the request',
		'cause (explained): refused (503) at vm-a: cold, the server was just started and takes few requests; tried vm-b (cold); the server of vm-b became ready 1000 ms before: a new run',
	].join('\n');
	assert.deepEqual(await runLogs(['trace', '0123456789', folder]), {exitCode: exitCodes.done, out: expected, err: ''});
	const ofFiles = await runLogs(['trace', '0123456789', path.join(folder, 'a.log'), path.join(folder, 'b.log')]);
	assert.equal(ofFiles.out, expected);
	const ofInput = await runLogs(['trace', '0123456789'], `vm-a ${refusal}\n${state}\nnot JSON`);
	assert.equal(ofInput.out, expected);
	const asDocument = await runLogs(['trace', '0123456789', folder, '--json']);
	const {cause, lines, unreadableLines} = JSON.parse(asDocument.out) as Record<string, unknown>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	assert.deepEqual([(cause as {readonly kind: string}).kind, lines, unreadableLines], ['explained', [{writer: 'vm-a', line: JSON.parse(refusal) as unknown}], 1]); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
});

test('an id of digits keeps its leading zeros; an id without lines is reported with exit code 0', async () => {
	const {exitCode, out} = await runLogs(['trace', '00', '--at', '2026-06-07T15:44:10Z', '--entry', 'vm-a'], `${refusal}\n`);
	assert.equal(exitCode, exitCodes.done);
	assert.match(out, /^request 00, lines: 0, VMs: 0\n/v);
	assert.match(out, /\ncause \(not-logged\): [^\n]*$/v);
});

test('a missing file and invalid option values exit with the usage code', async () => {
	const wrong = [['trace', 'r1', path.join(folder, 'none.log')], ['trace', 'r1', '--at', 'noon'], ['trace', 'r1', '--window-seconds', 'x'], ['trace', 'r1', '--status', 'x'], ['grep', 'r1']];
	for (const args of wrong) {
		const {exitCode} = await runLogs(args);
		assert.equal(exitCode, exitCodes.usage, args.join(' '));
	}
});
