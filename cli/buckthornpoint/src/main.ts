#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {listLogFiles, readChunks} from './log-files.js';
import {runCommandLine} from './run-command-line.js';

const firstArgument = 2;
const interruption = new AbortController();

process.once('SIGINT', () => {
	interruption.abort();
});

process.exitCode = await runCommandLine(process.argv.slice(firstArgument), {
	clock: new SystemClock(),
	env: process.env,
	print(text) {
		process.stdout.write(`${text}\n`);
	},
	report(text) {
		process.stderr.write(`${text}\n`);
	},
	readFile: async path => readFile(path, 'utf8'),
	listLogFiles,
	readChunks,
	generateId: () => randomUUID(),
	signal: interruption.signal,
});
