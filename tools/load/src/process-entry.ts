import {readFileSync} from 'node:fs';
import process from 'node:process';
import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {startDaemon, type Daemon} from '@buckthornpoint/daemon/daemon.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {sendProcessLoad} from './process-load.js';
import type {ProcessCommand, ProcessReport, ProcessSpec} from './process-messages.js';

const microsecondsPerMs = 1000;
const clock = new SystemClock();
let daemon: Daemon | undefined;
let backendServer: StandInBackendServer | undefined;

process.on('message', (command: ProcessCommand) => {
	const handled = handle(command);
	handled.then(report => {
		process.send?.(report);
		if (command.kind === 'stop') {
			process.disconnect();
		}
	}, (error: unknown) => {
		process.send?.({error: String(error)});
	});
});
process.on('disconnect', () => {
	process.exit(0);
});

async function handle(command: ProcessCommand): Promise<ProcessReport> {
	switch (command.kind) {
		case 'start': {
			return start(command.spec);
		}

		case 'load': {
			return sendProcessLoad(command.load, clock);
		}

		case 'measure': {
			return measure();
		}

		case 'stop': {
			await daemon?.close();
			await backendServer?.close();
			return {};
		}
	}
}

async function start({node, backendServer: server}: ProcessSpec): Promise<ProcessReport> {
	daemon = node === undefined ? undefined : await startDaemon(node, {clock, log: new SilentLog()});
	if (server !== undefined) {
		const nodeOrigin = server.nodeOrigin === '' ? daemon?.callerOrigin ?? '' : server.nodeOrigin;
		backendServer = new StandInBackendServer(clock, {...server, nodeOrigin, random: new SeededRandom(server.seed)});
		await backendServer.open();
	}

	return {callerOrigin: daemon?.callerOrigin, backendOrigin: backendServer?.origin};
}

function measure(): ProcessReport {
	const {user, system} = process.cpuUsage();
	return {use: {cpuMs: (user + system) / microsecondsPerMs, residentBytes: process.memoryUsage().rss, ioBytes: readIoBytes()}};
}

function readIoBytes(): number {
	const text = readFileSync('/proc/self/io', 'utf8');
	const matches = text.matchAll(/[rw]char: (?<bytes>\d+)/gv);
	return [...matches].reduce((sum, match) => sum + Number(match[1]), 0);
}
