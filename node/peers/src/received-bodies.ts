import type {BodyBlocks, BodyMemory} from '@buckthornpoint/frames/body-blocks.js';

type PartialBody = {
	readonly blocks: BodyBlocks;
	readonly bodyBytes: number;
	readonly onComplete: (body: BodyBlocks) => void;
};

/** The bodies that are being received on one connection, by call id. */
export class ReceivedBodies {
	readonly #memory: BodyMemory;
	readonly #bodies = new Map<number, PartialBody>();

	constructor(memory: BodyMemory) {
		this.#memory = memory;
	}

	/** Reserves the memory of a body. Calls `refuse` if it does not fit, or if it stalls and its memory is needed. */
	start(id: number, bodyBytes: number, {onComplete, refuse}: Pick<PartialBody, 'onComplete'> & {readonly refuse: () => void}): void {
		const blocks = this.#memory.startBody({
			announcedBytes: bodyBytes, evict: () => {
				this.remove(id);
				refuse();
			},
		});
		if (blocks === undefined) {
			refuse();
		} else {
			this.#bodies.set(id, {blocks, bodyBytes, onComplete});
		}
	}

	/** Adds the next bytes of a body. Those of a call that was answered or cancelled are dropped. */
	add(id: number, bytes: Uint8Array): void {
		const body = this.#bodies.get(id);
		if (body === undefined) {
			return;
		}

		if (body.blocks.length + bytes.length > body.bodyBytes || !body.blocks.add(bytes)) {
			throw new Error('the body of a request is longer than announced');
		}

		if (body.blocks.length === body.bodyBytes) {
			this.#bodies.delete(id);
			body.blocks.complete();
			body.onComplete(body.blocks);
		}
	}

	/** Drops a partial body. */
	remove(id: number): void {
		const body = this.#bodies.get(id);
		this.#bodies.delete(id);
		body?.blocks.release();
	}

	/** Drops all partial bodies: the connection ended, and their requests were not passed on. */
	close(): void {
		for (const id of this.#bodies.keys()) {
			this.remove(id);
		}
	}
}
