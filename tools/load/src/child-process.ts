import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {
	ProcessLoad, ProcessOrder, ProcessReport, ProcessSpec, ProcessUse,
} from './process-messages.js';

const entry = fileURLToPath(new URL('process-entry.js', import.meta.url));

/** An operating system process of a measurement: a node, a backend server, both, or a sender of load. */
export class MeasuredProcess {
	readonly #child: ChildProcess;
	#callerOrigin = '';
	#backendOrigin = '';

	constructor() {
		this.#child = fork(entry, {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	}

	/** Origin of the node's interface for callers; empty when the process runs no node. */
	get callerOrigin(): string {
		return this.#callerOrigin;
	}

	/** Origin of the backend server; empty when the process runs none. */
	get backendOrigin(): string {
		return this.#backendOrigin;
	}

	/** Starts the parts in the process. */
	async open(spec: ProcessSpec): Promise<void> {
		const {callerOrigin, backendOrigin} = await this.#ask({kind: 'start', spec});
		this.#callerOrigin = callerOrigin ?? '';
		this.#backendOrigin = backendOrigin ?? '';
	}

	/** Returns what the process used since it started. */
	async measureUse(): Promise<ProcessUse> {
		const {use} = await this.#ask({kind: 'measure'});
		return use ?? {cpuMs: 0, residentBytes: 0, ioBytes: 0};
	}

	/** Lets the process send a load. */
	async sendLoad(load: ProcessLoad): Promise<ProcessReport> {
		return this.#ask({kind: 'load', load});
	}

	/** Stops the parts and the process. */
	async close(): Promise<void> {
		const ended = once(this.#child, 'exit');
		await this.#ask({kind: 'stop'});
		await ended;
	}

	/** Ends the process at once, as a lost VM does. */
	async stopAtOnce(): Promise<void> {
		const ended = once(this.#child, 'exit');
		this.#child.kill('SIGKILL');
		await ended;
	}

	async #ask(order: ProcessOrder): Promise<ProcessReport> {
		const answered = once(this.#child, 'message');
		this.#child.send(order);
		const [report] = await answered as [ProcessReport]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		if (report.error !== undefined) {
			throw new Error(report.error);
		}

		return report;
	}
}
