import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {CellMachine} from '@buckthornpoint/ownership/cell-machine.js';
import type {CellStatus} from '@buckthornpoint/ownership/cell-status.js';
import type {CellEffect, CellInput} from '@buckthornpoint/ownership/machine.js';
import {
	TableStore, type Row, type StoreFailure, type Transaction,
} from '@buckthornpoint/table-store/table-store.js';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {registerCellCalls, type MessageReceiver} from '../src/cell-calls.js';

/** A state machine that records its inputs and returns the effects chosen by the test. */
export class ScriptedMachine extends CellMachine {
	readonly inputs: CellInput[] = [];
	readonly #react: (input: CellInput) => readonly CellEffect[];

	constructor(react: (input: CellInput) => readonly CellEffect[]) {
		super();
		this.#react = react;
	}

	override step(input: CellInput): readonly CellEffect[] {
		this.inputs.push(input);
		return this.#react(input);
	}

	override readStatus(_now: Timestamp): CellStatus {
		return {
			cell: 'cell', node: {vmId: 'vm-1', incarnation: 'a1'}, role: 'member', epoch: 0, leaseRemainingMs: 0, configurationVersion: 0, mapVersion: 0, members: [], grants: [],
		};
	}
}

/** A store with fixed rows, whose commits all succeed or all fail with the given failure. */
export class FixedStore extends TableStore {
	readonly committed: Transaction[] = [];
	readonly #rows: readonly Row[];
	readonly #failure: StoreFailure['kind'] | undefined;

	constructor(rows: readonly Row[], failure?: StoreFailure['kind']) {
		super();
		this.#rows = rows;
		this.#failure = failure;
	}

	override readRow(key: string): ResultAsync<Row | undefined, StoreFailure> {
		return okAsync(this.#rows.find(row => row.key === key));
	}

	override readRows(): ResultAsync<readonly Row[], StoreFailure> {
		return okAsync(this.#rows);
	}

	override commitTransaction(transaction: Transaction): ResultAsync<void, StoreFailure> {
		this.committed.push(transaction);
		return this.#failure === undefined
			? okAsync(undefined)
			: errAsync({kind: this.#failure, error: new BuckthornpointError('ERR_STORE_UNAVAILABLE', 'failure injected by the test')});
	}

	override async close(): Promise<void> {
		// There are no resources to close.
	}
}

/** A test server for calls between nodes. */
export type CallServer = {
	readonly origin: string;
	readonly sessionCount: () => number;
	close(): Promise<void>;
};

/** Serves the Deliver call on loopback. */
export async function openCallServer(receiver: MessageReceiver): Promise<CallServer> {
	const server: Http2Server = createServer(connectNodeAdapter({
		routes(router) {
			registerCellCalls(router, receiver);
		},
	}));
	const sessions: ServerHttp2Session[] = [];
	server.on('session', session => {
		sessions.push(session);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return {
		origin: `http://127.0.0.1:${port}`,
		sessionCount: () => sessions.length,
		async close() {
			for (const session of sessions) {
				session.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
