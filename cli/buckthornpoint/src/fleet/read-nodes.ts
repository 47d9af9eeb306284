import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import type {CommandContext} from '../command.js';
import {parseMetrics, type Sample} from './parse-metrics.js';

/** The metrics of one node at one time. */
export type NodeReading = {
	readonly address: string;
	readonly samples: readonly Sample[];
	/** When the metrics arrived, on the monotonic clock. */
	readonly readMs: number;
};

/** A node without usable metrics, and why. */
export type NodeProblem = {readonly address: string; readonly reason: string};

/** Options of a reading of several nodes. */
export type ReadOpts = {
	readonly timeoutMs: number;
	readonly context: Pick<CommandContext, 'clock' | 'signal'>;
};

/** Nodes that are read at the same time. */
const maxConcurrentReads = 8;

/** A node has some hundred series, about 50 KB. Longer texts are not a node's. */
const maxTextBytes = 8 * 1024 * 1024;

/** A metric that every node has. */
const requiredMetric = 'buckthornpoint_routes_version';

const statusOk = 200;

/** Reads the metrics of all nodes, some at a time. The results are in the order of `addresses`. */
export async function readNodes(addresses: readonly string[], opts: ReadOpts): Promise<ReadonlyArray<Result<NodeReading, NodeProblem>>> {
	const results: Array<Result<NodeReading, NodeProblem>> = [];
	const remaining = [...addresses.entries()].values();
	const readRemaining = async (): Promise<void> => {
		for (const [index, address] of remaining) {
			results[index] = await readNode(address, opts);
		}
	};

	await Promise.all(Array.from({length: Math.min(maxConcurrentReads, addresses.length)}, readRemaining));
	return results;
}

async function readNode(address: string, {timeoutMs, context}: ReadOpts): Promise<Result<NodeReading, NodeProblem>> {
	const timeout = new AbortController();
	const timer = context.clock.startTimer(timeoutMs, () => {
		timeout.abort();
	});
	try {
		const signal = AbortSignal.any([timeout.signal, context.signal]);
		// Without `reset`, the idle connection would keep the process of the command alive.
		const {statusCode, body} = await sendRequest(`http://${address}/metrics`, {signal, reset: true});
		const text = await readText(body);
		const samples = statusCode === statusOk
			? text.andThen(value => parseMetrics(value)).andThen(value => checkNode(value))
			: err(`the response has status ${statusCode}`);
		return samples.map(value => ({address, samples: value, readMs: context.clock.readTimestamp().monotonicMs})).mapErr(reason => ({address, reason}));
	} catch (error) {
		return err({address, reason: timeout.signal.aborted ? `no complete response within ${timeoutMs} ms` : formatError(error)});
	} finally {
		timer.close();
	}
}

async function readText(body: AsyncIterable<Uint8Array>): Promise<Result<string, string>> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > maxTextBytes) {
			return err(`the response is longer than ${maxTextBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return ok(Buffer.concat(chunks).toString('utf8'));
}

function checkNode(samples: readonly Sample[]): Result<readonly Sample[], string> {
	return samples.some(({name}) => name === requiredMetric) ? ok(samples) : err(`the response does not contain ${requiredMetric}`);
}

function formatError(error: unknown): string {
	const {code, message} = error as {readonly code?: string; readonly message?: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return code === 'ECONNREFUSED' ? 'connection refused' : message ?? code ?? String(error);
}
