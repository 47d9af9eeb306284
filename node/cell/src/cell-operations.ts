import {toBuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {CellEffect, CellInput} from '@buckthornpoint/ownership/machine.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {CellRowStore} from './cell-rows.js';
import type {PeerTransport} from './peer-transport.js';

/** An asynchronous effect whose result becomes an input of the state machine. */
export type CellOperation = Extract<CellEffect, {readonly kind: 'send' | 'read-store' | 'write-store'}>;

/** Dependencies of `CellOperations`. */
export type CellOperationsOpts = {
	readonly node: NodeIdentity;
	readonly transport: PeerTransport;
	readonly rows: CellRowStore;
	readonly log: Log;
	/** Receives the result of each operation as an input for the state machine. */
	readonly post: (input: CellInput) => void;
};

/** Runs the calls and store operations that the state machine requests, concurrently. */
export class CellOperations {
	readonly #opts: CellOperationsOpts;
	#closed = false;

	constructor(opts: CellOperationsOpts) {
		this.#opts = opts;
	}

	/** Starts an operation. Its result is posted as an input. */
	start(operation: CellOperation): void {
		if (this.#closed) {
			return;
		}

		const running = this.#run(operation);
		running.catch((error: unknown) => {
			this.#opts.log.write({event: 'internal-error', message: toBuckthornpointError(error).message});
		});
	}

	/** Prevents new operations. Running ones are not interrupted. */
	close(): void {
		this.#closed = true;
	}

	async #run(operation: CellOperation): Promise<void> {
		const {rows, post} = this.#opts;
		switch (operation.kind) {
			case 'send': {
				await this.#send(operation);
				break;
			}

			case 'read-store': {
				post({kind: 'store-read', operationId: operation.operationId, rows: await rows.readRows()});
				break;
			}

			case 'write-store': {
				post({kind: 'store-written', operationId: operation.operationId, outcome: await rows.writeRows(operation.write)});
				break;
			}
		}
	}

	async #send({to, peerOrigin, message}: Extract<CellOperation, {readonly kind: 'send'}>): Promise<void> {
		const {node, transport, post} = this.#opts;
		const answers = await transport.deliver({
			from: node, to, peerOrigin, message,
		});
		if (answers.isErr()) {
			post({kind: 'delivery-failed', peerOrigin, message});
			return;
		}

		for (const answer of answers.value) {
			post({kind: 'message', ...answer});
		}
	}
}
