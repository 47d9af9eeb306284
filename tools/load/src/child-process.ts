import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {
	ProcessLoad, ProcessCommand, ProcessReport, ProcessSpec, ProcessUsage,
} from './process-messages.js';

const entry = fileURLToPath(new URL('process-entry.js', import.meta.url));

/** A child process of a measurement that runs a node, a backend server, both, or a load generator. */
export class MeasuredProcess {
	readonly #child: ChildProcess;
	#callerOrigin = '';
	#backendOrigin = '';

	constructor() {
		this.#child = fork(entry, {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	}

	/** Origin of the node's caller interface; empty if the process runs no node. */
	get callerOrigin(): string {
		return this.#callerOrigin;
	}

	/** Origin of the backend server; empty if the process runs none. */
	get backendOrigin(): string {
		return this.#backendOrigin;
	}

	/** Starts the node and the backend server of the spec in the process. */
	async open(spec: ProcessSpec): Promise<void> {
		const {callerOrigin, backendOrigin} = await this.#request({kind: 'start', spec});
		this.#callerOrigin = callerOrigin ?? '';
		this.#backendOrigin = backendOrigin ?? '';
	}

	/** Returns the resource usage of the process since its start. */
	async measureUsage(): Promise<ProcessUsage> {
		const {use} = await this.#request({kind: 'measure'});
		return use ?? {cpuMs: 0, residentBytes: 0, ioBytes: 0};
	}

	/** Makes the process send a load and returns the measured latencies. */
	async sendLoad(load: ProcessLoad): Promise<ProcessReport> {
		return this.#request({kind: 'load', load});
	}

	/** Stops the node and the backend server gracefully and waits for the process to exit. */
	async close(): Promise<void> {
		const ended = once(this.#child, 'exit');
		await this.#request({kind: 'stop'});
		await ended;
	}

	/** Kills the process, which simulates the loss of a VM. */
	async stopImmediately(): Promise<void> {
		if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
			return;
		}

		const ended = once(this.#child, 'exit');
		this.#child.kill('SIGKILL');
		await ended;
	}

	async #request(command: ProcessCommand): Promise<ProcessReport> {
		const ended = new AbortController();
		const answered = once(this.#child, 'message', {signal: ended.signal});
		const cancelWait = (): void => {
			ended.abort();
		};

		this.#child.once('exit', cancelWait);
		this.#child.send(command);
		const [report] = await answered as [ProcessReport]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		this.#child.off('exit', cancelWait);
		if (report.error !== undefined) {
			throw new Error(report.error);
		}

		return report;
	}
}
