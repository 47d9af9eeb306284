import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import test from 'node:test';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';

type Line = {readonly event: string; readonly dropped?: number};

test('a reader that does not read does not block the log, and finds the number of dropped lines later', async () => {
	const program = spawn(process.execPath, [fileURLToPath(new URL('flood-log.js', import.meta.url))], {stdio: ['ignore', 'pipe', 'inherit', 'ipc']});
	const {stdout} = program;
	assert.ok(stdout);
	// If the log waited for its reader, this message would never arrive: nothing reads the output yet.
	await once(program, 'message');

	const reading = text(stdout);
	program.send('go on');
	await once(program, 'exit');
	const output = await reading;
	const lines = output.trimEnd().split('\n').map(line => JSON.parse(line) as Line); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const written = lines.filter(({event}) => event === 'announcement-ignored').length;
	const dropped = lines.reduce((sum, line) => sum + (line.dropped ?? 0), 0);
	assert.ok(dropped > 0);
	assert.equal(written + dropped, 2000);
});
