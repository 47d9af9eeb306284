import {get} from 'node:http';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {readinessPath} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import type {Disruptions} from './disruptions.js';
import {NodeProcess, type ProcessEnd} from './node-process.js';
import type {Violation} from './requests.js';

/** Options of a node under test. */
export type SoakNodeOpts = {
	readonly clock: Clock;
	/** Number of the node. */
	readonly number: number;
	readonly settingsFile: string;
	readonly logFile: string;
	readonly host: string;
	readonly readinessPort: number;
	/** Time from SIGTERM to SIGKILL. */
	readonly graceMs: number;
	readonly disruptions: Disruptions;
	/** When processes had to wait for a processor. */
	readonly slowness: Disruptions;
	readonly onViolation: (violation: Violation) => void;
	/** Called with each start, end and signal of the node's process. */
	readonly onEvent: (event: string) => void;
};

/** How often the readiness of a starting node is checked. */
const readyPollIntervalMs = 100;

/** After this time the start no longer waits for the node: the availability check reports a node that is not ready. */
const readyTimeoutMs = 15_000;

const statusOk = 200;

/** A node and its successive processes. */
export class SoakNode {
	readonly #opts: SoakNodeOpts;
	#process: NodeProcess | undefined;
	#isEndExpected = false;
	#isStopping = false;
	/** Whether the process has answered a readiness check. */
	#isListening = false;
	#isClosed = false;
	#restart: Promise<void> | undefined;

	constructor(opts: SoakNodeOpts) {
		this.#opts = opts;
	}

	/** Id of the running process; undefined if none is running. */
	get processId(): number | undefined {
		return this.#process?.isRunning ? this.#process.id : undefined;
	}

	/** Starts a process and waits until it is ready. */
	async start(): Promise<void> {
		this.#startProcess();
		await this.#waitUntilReady();
	}

	/**
	 * Stops the node as the platform does: sends SIGTERM, sends it again at the times `repeatsMs` after the first, and sends
	 * SIGKILL at the end of the grace period. Restarts the node after `downMs`.
	 */
	async stop(repeatsMs: readonly number[], downMs: number): Promise<void> {
		const running = this.#process;
		if (!running?.isRunning || this.#isStopping) {
			return;
		}

		this.#isEndExpected = true;
		this.#isStopping = true;
		const timers = [0, ...repeatsMs].map(afterMs => this.#opts.clock.startTimer(afterMs, () => {
			this.#opts.onEvent('SIGTERM');
			running.sendSignal('SIGTERM');
		}));
		const startMs = this.#readNowMs();
		const waiting = new AbortController();
		const isEnded = await Promise.race([running.ended.then(() => true), this.#opts.clock.sleep(this.#opts.graceMs, waiting.signal).then(() => false)]);
		waiting.abort();
		for (const timer of timers) {
			timer.close();
		}

		if (!isEnded) {
			this.#reportUnlessDisrupted(startMs, 'was still running at the end of the grace period');
			await this.#sendKill(running);
		} else if (!this.#isKill(await running.ended)) {
			this.#checkExit(await running.ended, startMs);
		}

		await this.#startAfter(downMs);
	}

	/** Kills the process without a grace period and restarts it. */
	async stopImmediately(downMs: number): Promise<void> {
		const running = this.#process;
		if (!running?.isRunning) {
			return;
		}

		const disruption = this.#opts.disruptions.open(this.#opts.number, this.#readNowMs());
		await this.#sendKill(running);
		await this.#startAfter(downMs);
		disruption.close(this.#readNowMs());
	}

	sendReload(): void {
		this.#opts.onEvent('SIGHUP');
		this.#process?.sendSignal('SIGHUP');
	}

	/** Suspends the process for a time. */
	async runPause(forMs: number): Promise<void> {
		const running = this.#process;
		if (!running?.isRunning) {
			return;
		}

		const disruption = this.#opts.disruptions.open(this.#opts.number, this.#readNowMs());
		this.#opts.onEvent('SIGSTOP');
		running.sendSignal('SIGSTOP');
		await this.#opts.clock.sleep(forMs);
		this.#opts.onEvent('SIGCONT');
		running.sendSignal('SIGCONT');
		disruption.close(this.#readNowMs());
	}

	/** Kills the process without a restart. */
	async close(): Promise<void> {
		this.#isClosed = true;
		this.#isEndExpected = true;
		await this.#restart;
		this.#process?.sendSignal('SIGKILL');
		await this.#process?.ended;
	}

	async #watchExit(running: NodeProcess): Promise<void> {
		const end = await running.ended;
		this.#opts.onEvent(`ended: ${formatEnd(end)}`);
		if (!this.#isEndExpected) {
			this.#report(`ended unexpectedly: ${formatEnd(end)}`);
			await this.#startAfter(0);
		}
	}

	async #sendKill(running: NodeProcess): Promise<void> {
		this.#isEndExpected = true;
		this.#opts.onEvent('SIGKILL');
		running.sendSignal('SIGKILL');
		await running.ended;
	}

	/** Restarts the node after a time. A stop and a kill that overlap share one restart. */
	async #startAfter(downMs: number): Promise<void> {
		this.#restart ??= this.#opts.clock.sleep(downMs).then(() => {
			this.#restart = undefined;
			this.#startProcess();
		});
		await this.#restart;
		await this.#waitUntilReady();
	}

	#startProcess(): void {
		if (this.#isClosed) {
			return;
		}

		const started = new NodeProcess(this.#opts.settingsFile, this.#opts.logFile);
		this.#process = started;
		this.#isEndExpected = false;
		this.#isStopping = false;
		this.#isListening = false;
		this.#opts.onEvent('started');
		void this.#watchExit(started);
	}

	async #waitUntilReady(): Promise<void> {
		const started = this.#process;
		const endMs = this.#readNowMs() + readyTimeoutMs;
		while (started?.isRunning && this.#readNowMs() < endMs && !await this.#isReady()) {
			await this.#opts.clock.sleep(readyPollIntervalMs);
		}
	}

	/** Reports an exit with an error. SIGTERM may kill a process that doesn't listen yet, as it has no requests. */
	#checkExit(end: ProcessEnd, startMs: number): void {
		if (end.code !== 0 && (this.#isListening || end.signal !== 'SIGTERM')) {
			this.#reportUnlessDisrupted(startMs, `stopped with ${formatEnd(end)}`);
		}
	}

	#reportUnlessDisrupted(startMs: number, message: string): void {
		const lists = [this.#opts.disruptions, this.#opts.slowness];
		if (!lists.some(list => list.hasOverlapping(target => target === this.#opts.number || target === 'driver', startMs, this.#readNowMs()))) {
			this.#report(message);
		}
	}

	#isKill({signal}: ProcessEnd): boolean {
		return signal === 'SIGKILL';
	}

	#report(message: string): void {
		this.#opts.onViolation({rule: 'process-end', atMs: this.#readNowMs(), message: `node ${this.#opts.number} ${message}`});
	}

	async #isReady(): Promise<boolean> {
		return new Promise(resolve => {
			const call = get({
				host: this.#opts.host, port: this.#opts.readinessPort, path: readinessPath, agent: false, timeout: readyPollIntervalMs * 5,
			}, response => {
				response.resume();
				this.#isListening = true;
				resolve(response.statusCode === statusOk);
			});
			call.on('timeout', () => {
				call.destroy();
			});
			call.on('error', () => {
				resolve(false);
			});
		});
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}

function formatEnd({code, signal}: ProcessEnd): string {
	return signal ?? `exit code ${code}`;
}
