import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const entryFile = fileURLToPath(new URL('../../../../node/mesh-daemon/lib/src/main.js', import.meta.url));

/** How a process ended. */
export type ProcessEnd = {readonly code: number | undefined; readonly signal: string | undefined};

/** A process of a node. */
export class NodeProcess {
	readonly ended: Promise<ProcessEnd>;
	readonly #child: ChildProcess;

	/** Starts the process; its output is appended to the log file. */
	constructor(settingsFile: string, logFile: string) {
		const log = openSync(logFile, 'a');
		this.#child = spawn(process.execPath, [entryFile, '--settings', settingsFile], {stdio: ['ignore', log, log]});
		closeSync(log);
		this.ended = once(this.#child, 'exit').then((): ProcessEnd => ({code: this.#child.exitCode ?? undefined, signal: this.#child.signalCode ?? undefined}));
	}

	get id(): number | undefined {
		return this.#child.pid;
	}

	get isRunning(): boolean {
		return this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/** Sends a signal, unless the process has ended. */
	sendSignal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void {
		if (this.isRunning) {
			this.#child.kill(signal);
		}
	}
}
