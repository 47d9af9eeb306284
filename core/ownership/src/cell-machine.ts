import type {Moment} from '@buckthornpoint/clock/clock.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {CellId} from '@buckthornpoint/types/identity.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import type {CellStatus} from './cell-status.js';
import type {CellContext, CellEffect, CellInput} from './machine.js';
import type {CellTiming} from './timing.js';

/** What a machine is created with. */
export type CellMachineOpts = {
	readonly cell: CellId;
	readonly member: Member;
	readonly timing: CellTiming;
	/** The configuration that the node knows at its start; `emptyConfiguration` for none. */
	readonly configuration: Configuration;
};

/**
 * The decisions of one node of a cell, as member and, while it holds the lease, as controller. It opens nothing and
 * waits for nothing: inputs go in, effects come out.
 */
export abstract class CellMachine {
	/** Takes one input and returns what is to be done. */
	abstract step(input: CellInput, context: CellContext): readonly CellEffect[];

	/** Returns what the node knows of itself and its cell, for operators. */
	abstract readStatus(now: Moment): CellStatus;
}
