import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {CellMachine} from '@buckthornpoint/ownership/cell-machine.js';
import type {CellEffect, CellInput} from '@buckthornpoint/ownership/machine.js';
import type {CellMessage} from '@buckthornpoint/ownership/messages.js';
import {Mailbox} from '@buckthornpoint/tasks/mailbox.js';
import {isSameNode} from '@buckthornpoint/types/identity.js';
import type {IncomingMessage} from './peer-transport.js';

/** An effect that the loop does not carry out itself. */
export type LoopEffect = Exclude<CellEffect, {readonly kind: 'wake-at'}>;

/** What the loop works with. */
export type MachineLoopOpts = {
	readonly machine: CellMachine;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Carries out an effect. Never waits. */
	readonly apply: (effect: LoopEffect) => void;
};

/** An input for the machine, with where its direct answers go. */
type QueuedInput = {
	readonly input: CellInput;
	readonly answer?: (messages: readonly CellMessage[]) => void;
};

/** Feeds a machine with one input after the other, and wakes it when it asked for it. */
export class MachineLoop {
	readonly #opts: MachineLoopOpts;
	readonly #mailbox = new Mailbox<QueuedInput>();
	#wakeAtMs = 0;
	#wakeTimer: Timer | undefined;
	#closed = false;

	constructor(opts: MachineLoopOpts) {
		this.#opts = opts;
	}

	/** Runs until the loop is closed. Rejects when the machine fails. */
	async run(): Promise<void> {
		this.post({kind: 'wake'});
		for await (const queued of this.#mailbox) {
			this.#handle(queued);
		}
	}

	/** Adds an input. */
	post(input: CellInput): void {
		this.#mailbox.post({input});
	}

	/** Adds a message of another node and returns what goes back to its sender at once. Rejects with `ERR_STOPPING`. */
	async handleMessage({from, message}: IncomingMessage): Promise<readonly CellMessage[]> {
		if (this.#closed) {
			throw new BuckthornpointError('ERR_STOPPING', 'the node has left the cell');
		}

		return new Promise(resolve => {
			this.#mailbox.post({input: {kind: 'message', from, message}, answer: resolve});
		});
	}

	/** Ends the loop after the inputs that are already there. */
	close(): void {
		this.#closed = true;
		this.#wakeTimer?.close();
		this.#mailbox.close();
	}

	// A stall may have delayed the timer: the machine learns first how late it is.
	#handle({input, answer}: QueuedInput): void {
		const isOverdue = this.#opts.clock.readMoment().monotonicMs >= this.#wakeAtMs;
		if (isOverdue && input.kind !== 'wake') {
			this.#step({kind: 'wake'});
		}

		const answers = this.#step(input);
		answer?.(answers);
	}

	/** Steps the machine and returns the messages that go back to the sender of the input. */
	#step(input: CellInput): readonly CellMessage[] {
		const {machine, clock, random} = this.#opts;
		if (input.kind === 'wake') {
			this.#wakeAtMs = Number.POSITIVE_INFINITY;
		}

		const answers: CellMessage[] = [];
		for (const effect of machine.step(input, {now: clock.readMoment(), random})) {
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
		this.#wakeTimer = clock.startTimer(monotonicMs - clock.readMoment().monotonicMs, () => {
			this.post({kind: 'wake'});
		});
	}
}

type SendEffect = Extract<CellEffect, {readonly kind: 'send'}>;

function isAnswer(effect: CellEffect, input: CellInput): effect is SendEffect {
	return effect.kind === 'send' && input.kind === 'message' && effect.to !== undefined && isSameNode(effect.to, input.from);
}
