import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import type {
	Policy, ProcessCommand, ProcessReport, ProcessUsage,
} from './process-messages.js';

const entry = fileURLToPath(new URL('process-entry.js', import.meta.url));

/** A simulated VM: a child process with a node and its backend server. */
export class VmProcess {
	readonly vmId: string;
	readonly failureDomain: string;
	readonly #settings: NodeSettings;
	readonly #child: ChildProcess;
	#callerOrigin = '';
	#isRunning = true;

	constructor(settings: NodeSettings) {
		this.vmId = settings.vmId;
		this.failureDomain = settings.failureDomain;
		this.#settings = settings;
		this.#child = fork(entry, {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	}

	/** Origin of the node's caller interface. */
	get callerOrigin(): string {
		return this.#callerOrigin;
	}

	/** Whether the process was neither killed nor suspended. */
	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Starts the node and the backend server in the process. */
	async open(policy: Policy): Promise<void> {
		const {callerOrigin} = await this.#request({kind: 'start', policy, settings: this.#settings});
		this.#callerOrigin = callerOrigin ?? '';
	}

	/** Returns the resource usage of the process since its start. */
	async measureUsage(): Promise<ProcessUsage> {
		const {use} = await this.#request({kind: 'measure'});
		return use ?? {cpuMs: 0, residentBytes: 0, writtenBytes: 0};
	}

	/** Kills the process, which simulates the loss of a VM. */
	stopImmediately(): void {
		this.#isRunning = false;
		this.#child.kill('SIGKILL');
	}

	/** Suspends the process with SIGSTOP, which simulates a paused VM. */
	sendSuspendSignal(): void {
		this.#isRunning = false;
		this.#child.kill('SIGSTOP');
	}

	/** Resumes a suspended process with SIGCONT. */
	sendResumeSignal(): void {
		this.#isRunning = true;
		this.#child.kill('SIGCONT');
	}

	/** Kills the process and waits for it to exit. */
	async close(): Promise<void> {
		if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
			return;
		}

		const ended = once(this.#child, 'exit');
		this.stopImmediately();
		await ended;
	}

	async #request(command: ProcessCommand): Promise<ProcessReport> {
		const answered = once(this.#child, 'message');
		this.#child.send(command);
		const [report] = await answered as [ProcessReport]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		if (report.error !== undefined) {
			throw new Error(report.error);
		}

		return report;
	}
}
