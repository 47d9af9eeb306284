import {hasPassed, type Timestamp} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {formatPartitionId, type NodeIdentity, type PartitionId} from '@buckthornpoint/types/identity.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {createCellMachine} from '../src/create-cell-machine.js';
import type {CellStatus} from '../src/cell-status.js';
import type {CellEffect, CellInput} from '../src/machine.js';
import {checkGrant, type Grant, type OwnershipView} from '../src/ownership-view.js';
import {defaultTiming} from '../src/timing.js';

const wallStartMs = 1_700_000_000_000;

/** Options of a simulated node. */
export type SimulatedNodeOpts = {
	readonly vmId: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	/** True time of the start. */
	readonly startMs: number;
	/** Rate of its clocks relative to true time. */
	readonly clockRate: number;
	readonly configuration: Configuration;
	readonly random: RandomSource;
};

/** One instance of a node: a state machine with its own clocks. */
export class SimulatedNode {
	readonly identity: NodeIdentity;
	readonly peerOrigin: string;
	view: OwnershipView;
	configurationVersion: number;
	mapVersion = 0;
	isAlive = true;
	isPaused = false;
	readonly pendingInputs: CellInput[] = [];
	wakeNumber = 0;
	readonly #opts: SimulatedNodeOpts;
	readonly #machine: ReturnType<typeof createCellMachine>;
	#clockLagMs = 0;

	constructor(opts: SimulatedNodeOpts) {
		this.#opts = opts;
		this.identity = {vmId: opts.vmId, incarnation: opts.incarnation};
		this.peerOrigin = `http://${opts.vmId}`;
		this.view = {node: this.identity, leaseEnd: undefined, grants: new Map()};
		this.configurationVersion = opts.configuration.version;
		this.#machine = createCellMachine({
			cell: 'cell',
			timing: defaultTiming,
			configuration: opts.configuration,
			member: {
				...this.identity, peerOrigin: this.peerOrigin, callerOrigin: `${this.peerOrigin}:80`, failureDomain: opts.failureDomain, phase: 'joining',
			},
		});
	}

	/** Applies one input at the true time. */
	step(input: CellInput, trueMs: number): readonly CellEffect[] {
		return this.#machine.step(input, {now: this.readClocks(trueMs), random: this.#opts.random});
	}

	/** Returns the state of the node and its cell at the true time. */
	readStatus(trueMs: number): CellStatus {
		return this.#machine.readStatus(this.readClocks(trueMs));
	}

	/** Returns the readings of its clocks at the true time. */
	readClocks(trueMs: number): Timestamp {
		const elapsedMs = (trueMs - this.#opts.startMs) * this.#opts.clockRate;
		return {monotonicMs: elapsedMs - this.#clockLagMs, wallMs: wallStartMs + (trueMs * this.#opts.clockRate)};
	}

	/** Converts a time of its monotonic clock to true time. */
	findTrueTime(monotonicMs: number): number {
		return this.#opts.startMs + ((monotonicMs + this.#clockLagMs) / this.#opts.clockRate);
	}

	/** Makes the monotonic clock lag behind, as it does when the VM is paused. */
	addClockLag(durationMs: number): void {
		this.#clockLagMs += durationMs * this.#opts.clockRate;
	}

	/** Returns the grant under which a new request of the partition would be handed over at the true time. */
	findActiveGrant(partition: PartitionId, trueMs: number): Grant | undefined {
		const checked = checkGrant(this.view, partition, this.readClocks(trueMs));
		return checked.isOk() ? checked.value.grant : undefined;
	}

	/** Returns whether the node could have handed over a request of the partition at the true time. */
	mayRun(partition: PartitionId, trueMs: number): boolean {
		const {leaseEnd, grants} = this.view;
		return leaseEnd !== undefined && !hasPassed(leaseEnd, this.readClocks(trueMs)) && grants.has(formatPartitionId(partition));
	}
}
