import {hasPassed, type Moment} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {formatPartitionId, type NodeIdentity, type PartitionId} from '@buckthornpoint/types/identity.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {createCellMachine} from '../src/create-cell-machine.js';
import type {CellStatus} from '../src/cell-status.js';
import type {CellEffect, CellInput} from '../src/machine.js';
import {checkGrant, type Grant, type OwnershipView} from '../src/ownership-view.js';
import {defaultTiming} from '../src/timing.js';

const wallStartMs = 1_700_000_000_000;

/** What a simulated node is started with. */
export type SimulatedNodeOpts = {
	readonly vmId: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	/** True time of the start, in milliseconds. */
	readonly startMs: number;
	/** How fast its clocks run; 1 is true. */
	readonly rate: number;
	readonly configuration: Configuration;
	readonly random: RandomSource;
};

/** One run of a node: a machine with clocks of its own. */
export class SimulatedNode {
	readonly identity: NodeIdentity;
	readonly peerOrigin: string;
	view: OwnershipView;
	configurationVersion: number;
	mapVersion = 0;
	isAlive = true;
	isPaused = false;
	readonly backlog: CellInput[] = [];
	wakeNumber = 0;
	readonly #opts: SimulatedNodeOpts;
	readonly #machine: ReturnType<typeof createCellMachine>;
	#stoodStillMs = 0;

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

	/** Takes one input at the true time. */
	step(input: CellInput, trueMs: number): readonly CellEffect[] {
		return this.#machine.step(input, {now: this.readMoment(trueMs), random: this.#opts.random});
	}

	/** Returns what the node knows of itself and its cell. */
	readStatus(trueMs: number): CellStatus {
		return this.#machine.readStatus(this.readMoment(trueMs));
	}

	/** Returns what its clocks show at the true time. */
	readMoment(trueMs: number): Moment {
		const elapsedMs = (trueMs - this.#opts.startMs) * this.#opts.rate;
		return {monotonicMs: elapsedMs - this.#stoodStillMs, wallMs: wallStartMs + (trueMs * this.#opts.rate)};
	}

	/** Returns the true time at which its monotonic clock shows the given time. */
	findTrueTime(monotonicMs: number): number {
		return this.#opts.startMs + ((monotonicMs + this.#stoodStillMs) / this.#opts.rate);
	}

	/** Makes the monotonic clock fall behind, as in a pause of the VM. */
	noteStoodStill(durationMs: number): void {
		this.#stoodStillMs += durationMs * this.#opts.rate;
	}

	/** Returns the grant by which a new request would be handed over at the true time. */
	findGrantInForce(partition: PartitionId, trueMs: number): Grant | undefined {
		const checked = checkGrant(this.view, partition, this.readMoment(trueMs));
		return checked.isOk() ? checked.value.grant : undefined;
	}

	/** Tells whether a request may still run that was handed over until the true time. */
	mayRun(partition: PartitionId, trueMs: number): boolean {
		const {leaseEnd, grants} = this.view;
		return leaseEnd !== undefined && !hasPassed(leaseEnd, this.readMoment(trueMs)) && grants.has(formatPartitionId(partition));
	}
}
