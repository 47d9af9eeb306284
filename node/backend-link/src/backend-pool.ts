import {AnswerMemoryLimit} from '@buckthornpoint/http1/answer-memory-limit.js';
import {
	BackendConnection, type BackendConnectionOpts, type BackendRequest, type Exchange,
} from './backend-connection.js';

/** Address of the backend server, and the check that assigns answers to requests. */
export type BackendPoolOpts = Pick<BackendConnectionOpts, 'host' | 'port' | 'evaluateAnswer' | 'memory' | 'onInvalidAnswer'> & {
	/** Reads a monotonic clock. */
	readonly readNowMs: () => number;
};

/** The keep-alive connections to the local backend server. The most recently used one is reused first, so that surplus ones time out. */
export class BackendPool {
	readonly #opts: BackendPoolOpts;
	readonly #idleConnections: BackendConnection[] = [];
	readonly #allConnections = new Set<BackendConnection>();
	readonly #memoryLimit = new AnswerMemoryLimit();

	constructor(opts: BackendPoolOpts) {
		this.#opts = opts;
	}

	/** Sends a request. The returned function closes its connection. */
	send(request: BackendRequest, requestId: string, finish: (exchange: Exchange) => void): () => void {
		const connection = this.#pickIdle(requestId) ?? this.#open();
		connection.send(request, requestId, exchange => {
			if (!connection.isClosed) {
				connection.recordIdle(this.#opts.readNowMs());
				this.#idleConnections.push(connection);
			}

			finish(exchange);
		});
		return () => {
			connection.close();
		};
	}

	/** Closes the connections that have been idle too long to be reused. */
	closeIdle(): void {
		const nowMs = this.#opts.readNowMs();
		for (const connection of this.#idleConnections.filter(candidate => !candidate.isUsable(nowMs))) {
			connection.close();
		}
	}

	/** Closes all connections; their pending requests are lost. */
	close(): void {
		for (const connection of this.#allConnections) {
			connection.close();
		}
	}

	#pickIdle(requestId: string): BackendConnection | undefined {
		this.closeIdle();
		const index = this.#idleConnections.findLastIndex(connection => connection.mayCarry(requestId));
		return index === -1 ? undefined : this.#idleConnections.splice(index, 1)[0];
	}

	#open(): BackendConnection {
		const connection = new BackendConnection({
			...this.#opts,
			memoryLimit: this.#memoryLimit,
			onClose: closed => {
				this.#allConnections.delete(closed);
				const index = this.#idleConnections.indexOf(closed);
				if (index !== -1) {
					this.#idleConnections.splice(index, 1);
				}
			},
		});
		this.#allConnections.add(connection);
		return connection;
	}
}
