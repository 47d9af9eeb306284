import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {sendRequest} from './loopback.js';

const entryFile = fileURLToPath(new URL('../../src/main.js', import.meta.url));

const injectorFile = new URL('throw-injector.js', import.meta.url).href;

/** The flags under which the deploy file runs a node. */
const runtimeFlags = ['--max-old-space-size=160', '--max-semi-space-size=4'];

/** Length of the part of a process's output that is kept. */
const maxOutputLength = 60_000;

const statusOk = 200;

/** Where a node throws once; throw-injector.ts says how places are named. */
export type ThrowOpts = {readonly site: string; readonly afterMs: number};

/** A node process and the addresses at which it listens. */
export class RunningNode {
	readonly callers: string;
	readonly #child: ChildProcess;
	readonly #readiness: string;
	/** The end of the process's output, for the message of a failed check. */
	#output = '';

	constructor(settingsFile: string, {callers, readiness}: {readonly callers: string; readonly readiness: string}, thrown?: ThrowOpts) {
		this.callers = callers;
		this.#readiness = readiness;
		const injection = thrown === undefined ? [] : ['--import', injectorFile];
		this.#child = spawn(process.execPath, [...runtimeFlags, ...injection, entryFile, '--settings', settingsFile], {
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {...process.env, ...thrown !== undefined && Object.fromEntries([['THROW_SITE', thrown.site], ['THROW_AFTER_MS', String(thrown.afterMs)]])},
		});
		for (const stream of [this.#child.stdout, this.#child.stderr]) {
			stream!.setEncoding('utf8').on('data', (text: string) => {
				this.#output = (this.#output + text).slice(-maxOutputLength);
			});
		}
	}

	/** Why the process ended; undefined while it runs. */
	get end(): string | undefined {
		const {exitCode, signalCode} = this.#child;
		return exitCode === null && signalCode === null ? undefined : `ended with ${signalCode ?? exitCode}: ${this.#output.slice(-2000)}`;
	}

	/** Reads the largest resident memory that the process has had. */
	readPeakMemory(): number {
		const kilobytes = /^VmHWM:\s+(\d+) kB$/mv.exec(readFileSync(`/proc/${this.#child.pid}/status`, 'utf8'))?.[1];
		return Number(kilobytes) * 1024;
	}

	countDescriptors(): number {
		return readdirSync(`/proc/${this.#child.pid}/fd`).length;
	}

	async isReady(): Promise<boolean> {
		const {status} = await sendRequest(this.#readiness, {method: 'GET', path: '/v1/readyz', headers: {}});
		return status === statusOk;
	}

	/** The end of the process's output. */
	get output(): string {
		return this.#output;
	}

	/** Begins a planned stop. */
	stop(): void {
		this.#child.kill('SIGTERM');
	}

	/** Suspends or continues the process, as when its share of the processor is used up. */
	setSuspended(isSuspended: boolean): void {
		this.#child.kill(isSuspended ? 'SIGSTOP' : 'SIGCONT');
	}

	async close(): Promise<void> {
		if (this.end === undefined) {
			const ended = once(this.#child, 'exit');
			this.#child.kill('SIGKILL');
			await ended;
		}
	}
}
