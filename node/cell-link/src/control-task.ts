import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {FleetStore} from '@buckthornpoint/fleet/fleet-store.js';
import {
	isOlderPosition, type EvacuationOrders, type HeartbeatReply, type MemberHeartbeat, type StorePosition,
} from '@buckthornpoint/key-ranges/messages.js';
import type {OwnershipRules} from '@buckthornpoint/key-ranges/classify-backend.js';
import {RangeController, type InheritedState, type RangeControllerOpts} from '@buckthornpoint/key-ranges/range-controller.js';
import type {ControlEvent} from './control-event.js';
import type {RetainedEvacuation} from './contradicted-orders.js';
import {
	ControllerLease, type ControlIdentity, type Takeover,
} from './controller-lease.js';

/** Dependencies and settings of a `ControlTask`. */
export type ControlTaskOpts = {
	readonly identity: ControlIdentity;
	readonly store: FleetStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly times: RangeControllerOpts;
	readonly getRules: () => OwnershipRules;
	/** Version of the operator's routes on this node, or 0 for none. It is sent to members that have an older version. */
	readonly getRoutesVersion: () => number;
	/** Called with the address of a member that has a later version of the operator's routes than this node. */
	readonly onLaterRoutes: (version: number, address: string) => void;
	/** The current evacuation orders. They are sent to members that have an older version. */
	readonly getEvacuation: () => EvacuationOrders & StorePosition;
	/** Evacuations that are kept although the store lacks them since it returned from an older copy. They are sent to all members. */
	readonly listRetainedEvacuations: () => readonly RetainedEvacuation[];
	/** State that this node received from the previous controller. A new controller starts from it. */
	readonly getInitialState: () => InheritedState;
	/** Requests an immediate heartbeat from the nodes at these addresses. */
	readonly requestHeartbeats: (addresses: readonly string[]) => void;
	/** Notifies all known nodes that this node has become the controller. */
	readonly announceTakeover: (epoch: number) => void;
	readonly onEvent: (event: ControlEvent) => void;
};

/** Interval at which the controller renews its lease row: a third of the term, so that one lost answer does not cost the lease. */
const renewalIntervalMs = 1000;

/** Interval at which range maps and moves are planned. */
const planIntervalMs = 200;

/** Moves are planned only if the last acknowledged renewal is more recent. While the store answers, it always is more recent. */
const maxRenewalAgeMs = 1500;

/** Delay before the next write after a store failure. A random part of up to half of it is added. */
const storeRetryDelayMs = 200;

/** Acquires and renews the controller lease, and persists the controller's decisions in the store while it holds it. */
export class ControlTask {
	readonly #opts: ControlTaskOpts;
	readonly #lease: ControllerLease;
	#controller: RangeController | undefined;
	#timer: Timer | undefined;
	#isWriting = false;
	#isClosed = false;
	/** Set once the node begins to stop. From then on it does not acquire the controller lease. */
	#isStopping = false;
	#failedSinceMs: number | undefined;
	#nextWriteMs = 0;

	constructor(opts: ControlTaskOpts) {
		this.#opts = opts;
		this.#lease = new ControllerLease({identity: opts.identity, store: opts.store, readNowMs: () => this.#readNowMs()});
	}

	get isLeading(): boolean {
		return this.#controller !== undefined;
	}

	/** Answers a member's heartbeat. Returns undefined if this node is not the controller. */
	handleHeartbeat(heartbeat: MemberHeartbeat): HeartbeatReply | undefined {
		const controller = this.#controller;
		if (controller === undefined) {
			return undefined;
		}

		if (heartbeat.epoch > controller.epoch) {
			this.#stepDown(`heartbeat of ${heartbeat.vmId} carries the newer epoch ${heartbeat.epoch}`);
			return undefined;
		}

		const reply = controller.handleHeartbeat(heartbeat, this.#readNowMs(), this.#lease.measureMaxLeaseMs());
		const routesVersion = this.#opts.getRoutesVersion();
		if (heartbeat.routesVersion > routesVersion) {
			this.#opts.onLaterRoutes(heartbeat.routesVersion, heartbeat.address);
		}

		const evacuation = this.#opts.getEvacuation();
		const retainedEvacuations = this.#opts.listRetainedEvacuations();
		return {
			...reply,
			isStoreReached: this.#lease.measureRenewalAgeMs() < 2 * renewalIntervalMs,
			...(routesVersion > heartbeat.routesVersion && {routesVersion}),
			...(isOlderPosition({era: heartbeat.ordersEra ?? 0, version: heartbeat.ordersVersion}, evacuation) && {evacuation}),
			...(retainedEvacuations.length > 0 && {retainedEvacuations}),
		};
	}

	/** Looks up the controller, and takes over if there is none. Returns the controller's address, if known. */
	async findController(): Promise<string | undefined> {
		if (this.#isClosed) {
			return undefined;
		}

		const search = await this.#lease.findOrAcquire(!this.#isStopping);
		if (search.isErr()) {
			this.#recordStoreFailure('look up the controller', search.error.error.message);
			return undefined;
		}

		this.#recordStoreSuccess();
		if (search.value.kind === 'taken' && this.#isStopping) {
			// The node began to stop while the lease was being acquired.
			await this.#releaseLease();
			return undefined;
		}

		if (search.value.kind === 'taken') {
			this.#startLeading(search.value.takeover);
			return this.#opts.identity.address;
		}

		return search.value.kind === 'other' ? search.value.address : undefined;
	}

	/** Releases the controller lease so that another node can take over immediately. This task does not acquire it again. */
	async release(): Promise<void> {
		this.#isStopping = true;
		if (this.#controller === undefined) {
			return;
		}

		this.#stopLeading('the node is stopping');
		await this.#releaseLease();
	}

	close(): void {
		this.#isClosed = true;
		this.#controller = undefined;
		this.#timer?.close();
	}

	async #releaseLease(): Promise<void> {
		const released = await this.#lease.release(this.#opts.times.leaseMs);
		if (released.isErr()) {
			this.#recordStoreFailure('release the controller lease', released.error.error.message);
		}
	}

	#startLeading({record, previousRecord, maps, problems, earlierLeasesMs, inheritedLeasesMs}: Takeover): void {
		for (const problem of problems) {
			this.#opts.onEvent({kind: 'store-failed', operation: 'decode a range map', problem});
		}

		const startMs = this.#readNowMs();
		this.#controller = new RangeController({
			epoch: record.epoch,
			maps,
			startMs,
			...this.#opts.getInitialState(),
			earlierLeasesEndMs: startMs + earlierLeasesMs,
			...(previousRecord !== undefined && {predecessor: {vmId: previousRecord.vmId, inheritedLeasesEndMs: startMs + inheritedLeasesMs}}),
		}, this.#opts.times);
		this.#opts.onEvent({
			kind: 'took-over', epoch: record.epoch, afterVm: previousRecord?.vmId ?? '', waitMs: Math.round(earlierLeasesMs),
		});
		this.#startTimer();
		this.#opts.announceTakeover(record.epoch);
	}

	#startTimer(): void {
		this.#timer?.close();
		this.#timer = this.#opts.clock.startTimer(planIntervalMs, () => {
			if (this.#controller !== undefined && !this.#isClosed) {
				void this.#step(this.#controller);
				this.#startTimer();
			}
		});
	}

	async #step(controller: RangeController): Promise<void> {
		const nowMs = this.#readNowMs();
		for (const vmId of controller.removeSilent(nowMs)) {
			this.#opts.onEvent({kind: 'vm-forgotten', vmId});
		}

		// A range that its owner has released has no owner until the store records the new one.
		// So moves are started only while the store answers.
		if (this.#lease.measureRenewalAgeMs() < maxRenewalAgeMs) {
			this.#planMoves(controller, nowMs);
		}

		if (!this.#isWriting && nowMs >= this.#nextWriteMs) {
			this.#isWriting = true;
			try {
				await this.#renewAndWriteMaps(controller);
			} finally {
				this.#isWriting = false;
			}
		}
	}

	#planMoves(controller: RangeController, nowMs: number): void {
		const moves = controller.planMoves(this.#opts.getRules(), nowMs);
		if (moves.length > 0) {
			this.#opts.onEvent({
				kind: 'moves-planned', epoch: controller.epoch, moves: moves.map(({from, to, owner, target}) => `${from}-${to} ${owner}>${target}`).join(' '),
			});
			this.#requestOwnerHeartbeats(controller, moves.map(({owner}) => owner));
		}
	}

	async #renewAndWriteMaps(controller: RangeController): Promise<void> {
		const maps = controller.planMaps(this.#opts.getRules(), this.#readNowMs());
		if (maps.length === 0 && this.#lease.measureRenewalAgeMs() < renewalIntervalMs) {
			return;
		}

		const written = await this.#lease.write(maps, controller.earlierLeasesEndMs - this.#readNowMs());
		if (this.#controller !== controller) {
			return;
		}

		if (written.isErr()) {
			this.#recordStoreFailure('renew the controller lease', written.error.error.message);
			if (written.error.kind !== 'unavailable') {
				await this.#readBack(controller);
			}

			return;
		}

		this.#recordStoreSuccess();
		if (maps.length > 0) {
			this.#opts.onEvent({kind: 'maps-written', epoch: controller.epoch, maps: maps.map(({service, version}) => `${service} ${version}`).join(', ')});
			this.#requestOwnerHeartbeats(controller, maps.flatMap(map => controller.recordWrittenMap(map)));
		}
	}

	async #readBack(controller: RangeController): Promise<void> {
		const readBack = await this.#lease.readBack();
		if (this.#controller !== controller) {
			return;
		}

		if (readBack.isErr()) {
			this.#recordStoreFailure('read back the controller row', readBack.error.error.message);
		} else if (readBack.value.kind === 'lost') {
			this.#stepDown(`the controller lease is lost: epoch ${readBack.value.epoch} is in the store`);
		} else {
			const {written, rowVersion, heldVersion} = readBack.value;
			this.#opts.onEvent({
				kind: 'read-back', epoch: controller.epoch, version: rowVersion, heldVersion, maps: written.map(({service, version}) => `${service} ${version}`).join(', '),
			});
			this.#requestOwnerHeartbeats(controller, written.flatMap(map => controller.recordWrittenMap(map)));
		}
	}

	#requestOwnerHeartbeats(controller: RangeController, owners: readonly string[]): void {
		this.#opts.requestHeartbeats([...new Set(owners.flatMap(owner => controller.findVm(owner)?.address ?? []))]);
	}

	#stepDown(reason: string): void {
		this.#stopLeading(reason);
		this.#lease.close();
	}

	#stopLeading(reason: string): void {
		this.#opts.onEvent({kind: 'stepped-down', epoch: this.#controller?.epoch ?? 0, reason});
		this.#controller = undefined;
		this.#timer?.close();
	}

	#recordStoreFailure(operation: string, problem: string): void {
		this.#nextWriteMs = this.#readNowMs() + (storeRetryDelayMs * (1 + (this.#opts.random.generateFraction() / 2)));
		if (this.#failedSinceMs === undefined) {
			this.#failedSinceMs = this.#readNowMs();
			this.#opts.onEvent({kind: 'store-failed', operation, problem});
		}
	}

	#recordStoreSuccess(): void {
		if (this.#failedSinceMs !== undefined) {
			this.#opts.onEvent({kind: 'store-regained', awayMs: Math.round(this.#readNowMs() - this.#failedSinceMs)});
			this.#failedSinceMs = undefined;
		}
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
