import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const entry = fileURLToPath(new URL('../src/main.js', import.meta.url));

type LogLine = {readonly event: string};

type RunningNode = {
	readonly process: ChildProcess;
	/** Resolves with the exit code and the signal that ended the process. */
	readonly ended: Promise<unknown[]>;
	readonly events: string[];
	/** The first line of the error output. */
	readonly caught: Promise<string>;
	/** Resolves once the event has been logged, or the process has ended. */
	waitFor(event: string): Promise<void>;
	close(): Promise<void>;
};

/** Preloaded module: reports when a SIGHUP handler is added, and whether the node's modules were already loaded. */
const reportCaught = `data:text/javascript,${encodeURIComponent(String.raw`process.on('newListener', name => {
	if (name === 'SIGHUP') {
		process.stderr.write('SIGHUP is caught, HTTP is ' + (process.moduleLoadList.includes('NativeModule _http_server') ? '' : 'not ') + 'loaded\n');
	}
});`)}`;

/** Timeout for a log line to arrive: well above the flush interval of the log. */
const maxWaitMs = 3000;

test('the start is logged while the node is running, not when it ends', async t => {
	const node = await startNode();
	t.after(async () => node.close());
	await node.waitFor('node-started');
	assert.ok(node.events.includes('node-started'), node.events.join(', '));
	assert.equal(node.process.exitCode, null);
});

test('a second SIGTERM during a planned stop does not cut the stop short', async t => {
	const node = await startNode();
	t.after(async () => node.close());
	await node.waitFor('node-started');
	node.process.kill('SIGTERM');
	await node.waitFor('node-stopping');
	node.process.kill('SIGTERM');
	assert.deepEqual(await node.ended, [0, null], node.events.join(', '));
	assert.equal(node.events.filter(event => event === 'node-stopping').length, 1);
	assert.ok(node.events.includes('node-stopped'));
});

test('SIGHUP is caught before the other modules are loaded, and handled once the node is running', async t => {
	const node = await startNode(['--import', reportCaught]);
	t.after(async () => node.close());
	assert.equal(await node.caught, 'SIGHUP is caught, HTTP is not loaded');
	node.process.kill('SIGHUP');
	await node.waitFor('node-started');
	assert.ok(node.events.includes('node-started'), JSON.stringify([node.process.exitCode, node.process.signalCode]));
	assert.ok(node.events.includes('settings-reloaded'), node.events.join(', '));
});

// The process lived on without one of its listeners, and nothing started it again.
test('a node whose port for callers is taken ends with an error', async t => {
	const taken = createServer();
	taken.listen(0, '127.0.0.1');
	await once(taken, 'listening');
	t.after(() => {
		taken.close();
	});
	const {port} = taken.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const node = await startNode([], `127.0.0.1:${port}`);
	t.after(async () => node.close());
	const [exitCode] = await Promise.race([node.ended, sleep(maxWaitMs, ['still running'], {ref: false})]);
	assert.equal(exitCode, 1, node.events.join(', '));
	assert.ok(node.events.includes('internal-error'));
});

async function startNode(runtimeArguments: readonly string[] = [], callerAddress?: string): Promise<RunningNode> {
	const folder = await mkdtemp(join(tmpdir(), 'buckthornpoint-signals-'));
	const file = join(folder, 'settings.jsonc');
	await writeFile(file, JSON.stringify(await createSettings(callerAddress)));
	const child = spawn(process.execPath, [...runtimeArguments, entry, '--settings', file], {stdio: ['ignore', 'pipe', 'pipe']});
	const ended = once(child, 'exit');
	const problems = createInterface({input: child.stderr});
	const caught = once(problems, 'line').then(([line]) => String(line));
	const events: string[] = [];
	const lines = createInterface({input: child.stdout});
	lines.on('line', line => {
		const {event} = JSON.parse(line) as LogLine; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		events.push(event);
		lines.emit(event);
	});
	return {
		process: child,
		ended,
		events,
		caught,
		async waitFor(event) {
			const timeout = AbortSignal.timeout(maxWaitMs);
			await Promise.race([events.includes(event) ? undefined : once(lines, event, {signal: timeout}), ended]);
		},
		async close() {
			child.kill('SIGKILL');
			await ended;
			await rm(folder, {recursive: true});
		},
	};
}

async function createSettings(callerAddress?: string): Promise<unknown> {
	const [freeAddress, peers, readiness, announcements, nothing] = await Promise.all(Array.from({length: 5}, findFreeAddress));
	return {
		vmId: 'vm-1',
		failureDomain: 'a',
		service: 'sklad',
		backendServer: nothing,
		listen: {
			callers: callerAddress ?? freeAddress, peers, readiness, announcements,
		},
		store: nothing,
		heartbeatSeconds: 0.9,
		bounds: {
			drainSeconds: 2, evacuationSeconds: 5, graceSeconds: 2, maxHoldSeconds: 10, retryRatio: 0.2, retrySlack: 56,
		},
		metricsPort: 0,
	};
}

async function findFreeAddress(): Promise<string> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	server.close();
	return `127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`;
}
