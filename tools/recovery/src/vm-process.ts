import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import type {
	Policy, ProcessOrder, ProcessReport, ProcessUse,
} from './process-messages.js';

const entry = fileURLToPath(new URL('process-entry.js', import.meta.url));

/** A VM of a measurement: one operating system process with a node and its backend server. */
export class VmProcess {
	readonly vmId: string;
	readonly failureDomain: string;
	readonly #settings: NodeSettings;
	readonly #child: ChildProcess;
	#callerOrigin = '';
	#isUsable = true;

	constructor(settings: NodeSettings) {
		this.vmId = settings.vmId;
		this.failureDomain = settings.failureDomain;
		this.#settings = settings;
		this.#child = fork(entry, {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	}

	/** Origin of the node's interface for callers. */
	get callerOrigin(): string {
		return this.#callerOrigin;
	}

	/** Whether the process was neither ended nor frozen. */
	get isUsable(): boolean {
		return this.#isUsable;
	}

	/** Starts the parts in the process. */
	async open(policy: Policy): Promise<void> {
		const {callerOrigin} = await this.#ask({kind: 'start', policy, settings: this.#settings});
		this.#callerOrigin = callerOrigin ?? '';
	}

	/** Returns what the process used since it started. */
	async measureUse(): Promise<ProcessUse> {
		const {use} = await this.#ask({kind: 'measure'});
		return use ?? {cpuMs: 0, residentBytes: 0, writtenBytes: 0};
	}

	/** Ends the process at once, as a lost VM does. */
	stopAtOnce(): void {
		this.#isUsable = false;
		this.#child.kill('SIGKILL');
	}

	/** Freezes the process, as a paused VM is. */
	sleep(): void {
		this.#isUsable = false;
		this.#child.kill('SIGSTOP');
	}

	/** Lets a frozen process go on. */
	advance(): void {
		this.#isUsable = true;
		this.#child.kill('SIGCONT');
	}

	/** Ends the process and waits for its end. */
	async close(): Promise<void> {
		if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
			return;
		}

		const ended = once(this.#child, 'exit');
		this.stopAtOnce();
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
