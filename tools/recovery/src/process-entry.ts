import {readFileSync} from 'node:fs';
import process from 'node:process';
import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {startDaemon} from '@buckthornpoint/daemon/daemon.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import {startNaiveNode} from './naive-node.js';
import type {ProcessCommand, ProcessReport, ProcessUsage} from './process-messages.js';

const microsecondsPerMs = 1000;
const announceIntervalMs = 1000;
const slots = 18;
const clock = new SystemClock();

process.on('message', (command: ProcessCommand) => {
	const handled = handle(command);
	handled.then(report => {
		process.send?.(report);
	}, (error: unknown) => {
		process.send?.({error: String(error)});
	});
});
process.on('disconnect', () => {
	process.exit(0);
});

async function handle(command: ProcessCommand): Promise<ProcessReport> {
	if (command.kind === 'measure') {
		return {use: measureUsage()};
	}

	const callerOrigin = command.policy === 'naive' ? await startNaiveNode(command.settings, clock) : await startNode(command.settings);
	return {callerOrigin};
}

async function startNode(settings: NodeSettings): Promise<string> {
	const daemon = await startDaemon(settings, {clock, log: new SilentLog()});
	const backendServer = new StandInBackendServer(clock, {
		name: `sklad-${settings.vmId}`, service: 'sklad', slots, checksFence: false, incarnation: settings.vmId, nodeOrigin: daemon.callerOrigin, serviceTimeMs: 1, announceIntervalMs,
	});
	await backendServer.open();
	return daemon.callerOrigin;
}

function measureUsage(): ProcessUsage {
	const {user, system} = process.cpuUsage();
	const written = /wchar: (?<bytes>\d+)/v.exec(readFileSync('/proc/self/io', 'utf8'));
	return {cpuMs: (user + system) / microsecondsPerMs, residentBytes: process.memoryUsage().rss, writtenBytes: Number(written?.[1] ?? 0)};
}
