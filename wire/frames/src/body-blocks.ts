import {Buffer} from 'node:buffer';
import {MemoryBudget, type HolderOpts, type MemoryHolder} from '@buckthornpoint/admission/memory-budget.js';

/** Size of the blocks that hold large bodies. */
export const blockBytes = 65_536;

/** A body: one piece if it is small, blocks if it is large. */
export type Body = Uint8Array | BodyBlocks;

/** A destination that reports when it has read the bytes that were written to it, such as a socket. */
export type BlockWriter = {
	write(bytes: Uint8Array, done?: () => void): boolean;
	cork(): void;
	uncork(): void;
};

/** What is known of a body when it starts. */
export type BodyOpts = Omit<HolderOpts, 'startMs'>;

/**
 * The memory of a node for bodies: a budget, and a pool of blocks. Blocks are recycled, so that the memory in use does not depend
 * on when the garbage collector runs.
 */
export class BodyMemory {
	readonly budget: MemoryBudget;
	readonly #readNowMs: () => number;
	readonly #freeBlocks: Buffer[] = [];

	constructor(budget: MemoryBudget, readNowMs: () => number) {
		this.budget = budget;
		this.#readNowMs = readNowMs;
	}

	readNowMs(): number {
		return this.#readNowMs();
	}

	/** Adds a holder of bytes that are not kept in blocks. */
	addHolder(opts: BodyOpts): MemoryHolder {
		return this.budget.addHolder({...opts, startMs: this.#readNowMs()});
	}

	/** Starts a body. Its announced length is reserved at once; returns undefined if it does not fit. */
	startBody(opts: BodyOpts): BodyBlocks | undefined {
		const holder = this.addHolder(opts);
		return holder.acquire(deriveReservedBytes(opts.announcedBytes ?? 0), this.#readNowMs()) ? new BodyBlocks(this, holder) : undefined;
	}

	/** Takes a block. Its bytes are not initialized. */
	pickBlock(): Buffer {
		return this.#freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
	}

	/** Returns blocks that nothing reads any more. */
	releaseBlocks(blocks: readonly Buffer[]): void {
		for (const block of blocks) {
			this.#freeBlocks.push(block);
		}
	}
}

/**
 * A body in blocks, with a count of its users. The blocks return to the pool when the last user has released the body; a socket write
 * is a user until its callback was called, as the system reads the bytes until then.
 */
export class BodyBlocks {
	readonly #memory: BodyMemory;
	readonly #holder: MemoryHolder;
	#blocks: Buffer[] = [];
	#length = 0;
	#users = 1;

	constructor(memory: BodyMemory, holder: MemoryHolder) {
		this.#memory = memory;
		this.#holder = holder;
	}

	get length(): number {
		return this.#length;
	}

	/** Adds a copy of the bytes. Returns false and adds nothing if they do not fit into the budget. */
	add(bytes: Uint8Array): boolean {
		this.#checkUsed();
		const nowMs = this.#memory.readNowMs();
		const missing = deriveReservedBytes(this.#length + bytes.length) - this.#holder.reservedBytes;
		if (missing > 0 && !this.#holder.acquire(missing, nowMs)) {
			return false;
		}

		for (let offset = 0; offset < bytes.length;) {
			const used = this.#length % blockBytes;
			if (used === 0) {
				this.#blocks.push(this.#memory.pickBlock());
			}

			const part = bytes.subarray(offset, offset + blockBytes - used);
			this.#blocks.at(-1)!.set(part, used);
			this.#length += part.length;
			offset += part.length;
		}

		this.#holder.recordProgress(bytes.length, nowMs);
		return true;
	}

	/** Protects the body from eviction: it is complete. */
	complete(): void {
		this.#holder.complete();
	}

	/** Allows the eviction of the complete body while it is delivered; `evict` is called if the receiver stops reading. */
	startDelivery(evict: () => void): void {
		this.#holder.startDelivery(evict, this.#memory.readNowMs());
	}

	/** Records that the receiver read bytes. */
	recordDelivered(bytes: number): void {
		this.#holder.recordProgress(bytes, this.#memory.readNowMs());
	}

	/** The pieces of the body in order. They are valid until the body is released. */
	listPieces(): readonly Uint8Array[] {
		this.#checkUsed();
		return this.#blocks.map((block, index) => block.subarray(0, this.#length - (index * blockBytes)));
	}

	/** Decodes the body as text. */
	toString(): string {
		return Buffer.concat(this.listPieces()).toString('utf8');
	}

	/** Adds a user. */
	acquire(): void {
		this.#checkUsed();
		this.#users++;
	}

	/** Removes a user. After the last one, the body must not be used. */
	release(): void {
		this.#checkUsed();
		this.#users--;
		if (this.#users === 0) {
			this.#memory.releaseBlocks(this.#blocks);
			this.#blocks = [];
			this.#holder.close();
		}
	}

	/** Writes the body without copying it. It is retained until the last write has completed or failed. */
	writeTo(writer: BlockWriter): void {
		const pieces = this.listPieces();
		this.acquire();
		writer.cork();
		for (const [index, piece] of pieces.entries()) {
			writer.write(piece, index === pieces.length - 1
				? () => {
					this.release();
				}
				: undefined);
		}

		if (pieces.length === 0) {
			this.release();
		}

		writer.uncork();
	}

	/** Throws if the body was released: its blocks may hold the bytes of another one. */
	#checkUsed(): void {
		if (this.#users === 0) {
			throw new Error('a body was used after its release');
		}
	}
}

/** Adds a user of a body. */
export function acquireBody(body: Body): void {
	if (body instanceof BodyBlocks) {
		body.acquire();
	}
}

/** Releases a body that its holder no longer needs; a body in one piece is left to the garbage collector. */
export function releaseBody(body: Body | undefined): void {
	if (body instanceof BodyBlocks) {
		body.release();
	}
}

/** Creates a memory without a limit, for processes that serve no untrusted callers. */
export function createUnlimitedMemory(): BodyMemory {
	return new BodyMemory(new MemoryBudget({limitBytes: Number.POSITIVE_INFINITY, largestBytes: 0}), () => 0);
}

function deriveReservedBytes(bytes: number): number {
	return Math.ceil(bytes / blockBytes) * blockBytes;
}
