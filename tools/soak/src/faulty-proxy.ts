import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import type {Clock} from '@buckthornpoint/clock/clock.js';

/** How a proxy treats its connections. */
export type LinkCondition
	/** `cut` resets connections, `silent` drops bytes in both directions, `one-way` drops bytes to the client. */
	= | {readonly kind: 'up' | 'cut' | 'silent' | 'one-way'}
		| {readonly kind: 'delayed'; readonly delayMs: number};

/** TCP proxy to one address that injects faults. */
export class FaultyProxy {
	readonly #clock: Clock;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	#condition: LinkCondition = {kind: 'up'};

	constructor(clock: Clock, target: {readonly host: string; readonly port: number}) {
		this.#clock = clock;
		this.#server = createServer({noDelay: true}, clientSocket => {
			if (this.#condition.kind === 'cut') {
				clientSocket.resetAndDestroy();
				return;
			}

			const targetSocket = connect({...target, noDelay: true});
			this.#forward(clientSocket, targetSocket, () => this.#condition.kind !== 'silent');
			this.#forward(targetSocket, clientSocket, () => this.#condition.kind !== 'silent' && this.#condition.kind !== 'one-way');
		});
	}

	async listen(host: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	/** Changes the condition. Connections that may have lost bytes are reset at the next change, as they can't be continued. */
	setCondition(condition: LinkCondition): void {
		const mustReset = condition.kind === 'cut' || this.#condition.kind === 'silent' || this.#condition.kind === 'one-way';
		this.#condition = condition;
		if (mustReset) {
			this.#closeSockets();
		}
	}

	close(): void {
		this.#server.close();
		this.#closeSockets();
	}

	#forward(from: Socket, to: Socket, canForward: () => boolean): void {
		this.#sockets.add(from);
		let lastDeliveryMs = 0;
		from.on('data', (chunk: Uint8Array) => {
			if (!canForward()) {
				return;
			}

			const nowMs = this.#clock.readTimestamp().monotonicMs;
			lastDeliveryMs = Math.max(lastDeliveryMs, nowMs + (this.#condition.kind === 'delayed' ? this.#condition.delayMs : 0));
			if (lastDeliveryMs <= nowMs) {
				to.write(chunk);
			} else {
				this.#clock.startTimer(lastDeliveryMs - nowMs, () => {
					to.write(chunk);
				});
			}
		});
		from.on('error', () => {
			to.destroy();
		});
		from.on('close', () => {
			this.#sockets.delete(from);
			to.destroy();
		});
	}

	#closeSockets(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}
}
