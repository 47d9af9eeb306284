import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import {CellMachine, type CellMachineOpts} from './cell-machine.js';
import {createState, type CellState} from './cell-state.js';
import type {CellStatus} from './cell-status.js';
import type {CellContext, CellEffect, CellInput} from './machine.js';
import {readStatus} from './read-status.js';
import {stepCell} from './step-cell.js';

/** Creates the state machine of a node that has just started. */
export function createCellMachine(opts: CellMachineOpts): CellMachine {
	return new StandardCellMachine(opts);
}

class StandardCellMachine extends CellMachine {
	readonly #state: CellState;

	constructor(opts: CellMachineOpts) {
		super();
		this.#state = createState(opts);
	}

	override step(input: CellInput, context: CellContext): readonly CellEffect[] {
		return stepCell(this.#state, input, context);
	}

	override readStatus(now: Timestamp): CellStatus {
		return readStatus(this.#state, now);
	}
}
