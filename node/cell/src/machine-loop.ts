import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {CellMachine} from '@buckthornpoint/ownership/cell-machine.js';
import type {CellEffect, CellInput} from '@buckthornpoint/ownership/machine.js';
import type {CellMessage} from '@buckthornpoint/ownership/messages.js';
import {Mailbox} from '@buckthornpoint/tasks/mailbox.js';
import {isSameNode} from '@buckthornpoint/types/identity.js';
import type {IncomingMessage} from './peer-transport.js';

/** An effect of the state machine that the caller of the loop executes: all except `wake-at`. */
export type LoopEffect = Exclude<CellEffect, {readonly kind: 'wake-at'}>;

/** Dependencies of a `MachineLoop`. */
export type MachineLoopOpts = {
	readonly machine: CellMachine;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Starts executing an effect and returns without waiting for its result. */
	readonly apply: (effect: LoopEffect) => void;
};

/** An input for the state machine, and the callback that receives the immediate replies to its sender. */
type QueuedInput = {
	readonly input: CellInput;
	readonly answer?: (messages: readonly CellMessage[]) => void;
};

/** Passes inputs to a state machine one at a time, and wakes the state machine at the time set by its `wake-at` effect. */
export class MachineLoop {
	readonly #opts: MachineLoopOpts;
	readonly #mailbox = new Mailbox<QueuedInput>();
	#wakeAtMs = 0;
	#wakeTimer: Timer | undefined;
	#closed = false;

	constructor(opts: MachineLoopOpts) {
		this.#opts = opts;
	}

	/** Runs until the loop is closed. Rejects if the machine fails. */
	async run(): Promise<void> {
		this.post({kind: 'wake'});
		for await (const queued of this.#mailbox) {
			this.#handle(queued);
		}
	}

	post(input: CellInput): void {
		this.#mailbox.post({input});
	}

	/** Adds a message from another node and returns the immediate replies to its sender. Rejects with `ERR_STOPPING` after `close`. */
	async handleMessage({from, message}: IncomingMessage): Promise<readonly CellMessage[]> {
		if (this.#closed) {
			throw new BuckthornpointError('ERR_STOPPING', 'the node has left the cell');
		}

		return new Promise(resolve => {
			this.#mailbox.post({input: {kind: 'message', from, message}, answer: resolve});
		});
	}

	/** Ends the loop after the inputs that are already queued. */
	close(): void {
		this.#closed = true;
		this.#wakeTimer?.close();
		this.#mailbox.close();
	}

	// If the process stalled and the wake timer is late, the state machine is woken before it handles the input. It thus detects the delay before it acts on the input.
	#handle({input, answer}: QueuedInput): void {
		const isOverdue = this.#opts.clock.readTimestamp().monotonicMs >= this.#wakeAtMs;
		if (isOverdue && input.kind !== 'wake') {
			this.#step({kind: 'wake'});
		}

		const answers = this.#step(input);
		answer?.(answers);
	}

	/** Applies an input to the machine and returns the replies to the sender of the input. */
	#step(input: CellInput): readonly CellMessage[] {
		const {machine, clock, random} = this.#opts;
		if (input.kind === 'wake') {
			this.#wakeAtMs = Number.POSITIVE_INFINITY;
		}

		const answers: CellMessage[] = [];
		for (const effect of machine.step(input, {now: clock.readTimestamp(), random})) {
			if (isAnswer(effect, input)) {
				answers.push(effect.message);
			} else if (effect.kind === 'wake-at') {
				this.#startWakeTimer(effect.monotonicMs);
			} else {
				this.#opts.apply(effect);
			}
		}

		return answers;
	}

	#startWakeTimer(monotonicMs: number): void {
		this.#wakeTimer?.close();
		this.#wakeAtMs = monotonicMs;
		if (this.#closed) {
			return;
		}

		const {clock} = this.#opts;
		this.#wakeTimer = clock.startTimer(monotonicMs - clock.readTimestamp().monotonicMs, () => {
			this.post({kind: 'wake'});
		});
	}
}

type SendEffect = Extract<CellEffect, {readonly kind: 'send'}>;

function isAnswer(effect: CellEffect, input: CellInput): effect is SendEffect {
	return effect.kind === 'send' && input.kind === 'message' && effect.to !== undefined && isSameNode(effect.to, input.from);
}
