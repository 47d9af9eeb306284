import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {CellId} from '@buckthornpoint/types/identity.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import type {CellStatus} from './cell-status.js';
import type {CellContext, CellEffect, CellInput} from './machine.js';
import type {CellTiming} from './timing.js';

/** Options of a `CellMachine`. */
export type CellMachineOpts = {
	readonly cell: CellId;
	readonly member: Member;
	readonly timing: CellTiming;
	/** The configuration that the node has at its start; `emptyConfiguration` for none. */
	readonly configuration: Configuration;
};

/**
 * State machine of one node of a cell, in its role as member and, while it holds the controller lease, as controller. It
 * does no I/O and starts no timers: it turns each input into effects that the caller carries out.
 */
export abstract class CellMachine {
	/** Applies one input and returns the effects that the caller has to carry out. */
	abstract step(input: CellInput, context: CellContext): readonly CellEffect[];

	/** Returns the state of the node and its cell for operators. */
	abstract readStatus(now: Timestamp): CellStatus;
}
