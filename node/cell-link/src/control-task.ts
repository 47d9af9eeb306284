import {PeriodicTimer} from '@buckthornpoint/clock/periodic-timer.js';
import {noOwnershipRules} from '@buckthornpoint/key-ranges/classify-backend.js';
import {maxClockDrift} from '@buckthornpoint/key-ranges/clock-drift.js';
import type {HeartbeatReply, MemberHeartbeat} from '@buckthornpoint/key-ranges/messages.js';
import type {RangeController} from '@buckthornpoint/key-ranges/range-controller.js';
import {updateEra, type RangeMap} from '@buckthornpoint/key-ranges/range-map.js';
import type {ControlTaskOpts} from './control-task-opts.js';
import {formatMaps} from './control-event.js';
import * as times from './control-times.js';
import {ControllerLease} from './controller-lease.js';
import type {Renewal, Takeover} from './controller-lease-types.js';
import {createControllerShares, type ControllerShares} from './controller-shares.js';
import {ControllerVouchers} from './controller-vouchers.js';
import {createOperatorReply} from './create-operator-reply.js';
import {createRangeController} from './create-range-controller.js';
import {StoreOutage} from './store-outage.js';
import {controllerTermMs, leaseHorizonMs} from './takeover-record.js';

/** Acquires and renews the controller lease, and persists the controller's decisions in the store while it holds it. */
export class ControlTask {
	readonly #opts: ControlTaskOpts;
	readonly #lease: ControllerLease;
	#controller: RangeController | undefined;
	#shares: ControllerShares | undefined;
	readonly #vouchers: ControllerVouchers;
	#timer: PeriodicTimer | undefined;
	#isWriting = false;
	#isClosed = false;
	/** Set once the node begins to stop. From then on it does not acquire the controller lease. */
	#isStopping = false;
	readonly #outage: StoreOutage;
	/** When this node last read the rows of the cell as the controller. */
	#lastReadMs = Number.NEGATIVE_INFINITY;

	constructor(opts: ControlTaskOpts) {
		this.#opts = opts;
		this.#vouchers = new ControllerVouchers(opts.clock, opts.times.leaseMs);
		this.#outage = new StoreOutage(opts);
		this.#lease = new ControllerLease({
			identity: opts.identity, store: opts.store, getEpoch: opts.getEpoch, readNowMs: () => this.#readNowMs(), readWallMs: () => opts.clock.readTimestamp().wallMs, onLeaves: opts.onLeaves,
		});
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

		this.#timer?.refresh();
		if (heartbeat.epoch > controller.epoch) {
			this.#stepDown(`heartbeat of ${heartbeat.vmId} carries the newer epoch ${heartbeat.epoch}`);
			return undefined;
		}

		const {token, maxLeaseMs} = this.#vouchers.recordHeartbeat(heartbeat, this.#lease.quorums);
		const longestLeaseMs = Math.min(maxLeaseMs, this.#lease.measureMaxLeaseMs());
		const reply = controller.handleHeartbeat(heartbeat, this.#readNowMs(), longestLeaseMs);
		const accountShares = this.#shares?.handleHeartbeat(heartbeat, this.#readNowMs(), longestLeaseMs);
		if (heartbeat.routesVersion > this.#opts.getRoutesVersion()) {
			this.#opts.onLaterRoutes(heartbeat.routesVersion, heartbeat.address);
		}

		return {
			...reply, token, ...createOperatorReply(heartbeat, this.#opts), ...(accountShares !== undefined && {accountShares}),
			isStoreReached: this.#lease.measureRenewalAgeMs() < 2 * times.renewalIntervalMs,
		};
	}

	/** Looks up the controller, and takes over if there is none. Returns the controller's address, if known. */
	async findController(): Promise<string | undefined> {
		if (this.#isClosed) {
			return undefined;
		}

		const search = await this.#lease.findOrAcquire(!this.#isStopping);
		if (search.isErr()) {
			this.#outage.recordFailure('look up the controller', search.error.error.message);
			this.#opts.onLeaves(undefined);
			return undefined;
		}

		this.#outage.recordSuccess();
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
			this.#outage.recordFailure('release the controller lease', released.error.error.message);
		}
	}

	#startLeading(takeover: Takeover): void {
		const {record, previousRecord, problems, isAfterReturn, earlierLeasesMs} = takeover;
		for (const problem of problems) {
			this.#opts.onEvent({kind: 'store-failed', operation: 'decode a range map', problem});
		}

		this.#lastReadMs = this.#readNowMs();
		this.#controller = createRangeController(takeover, {initialState: this.#opts.getInitialState(), startMs: this.#readNowMs(), times: this.#opts.times});
		this.#shares = createControllerShares(takeover, this.#opts, this.#lease);
		this.#vouchers.start(record.epoch);
		this.#opts.onEvent({
			kind: 'took-over', epoch: record.epoch, afterVm: previousRecord?.vmId ?? '', waitMs: Math.round(earlierLeasesMs), isAfterReturn,
		});
		this.#startTimer();
		this.#opts.announceTakeover(record.epoch);
	}

	#startTimer(): void {
		this.#timer?.close();
		this.#timer = new PeriodicTimer(this.#opts.clock, times.planIntervalMs, () => {
			if (this.#controller !== undefined && !this.#isClosed) {
				void this.#step(this.#controller);
			}
		});
	}

	async #step(controller: RangeController): Promise<void> {
		const nowMs = this.#readNowMs();
		for (const vmId of controller.removeSilent(nowMs)) {
			this.#opts.onEvent({kind: 'vm-forgotten', vmId});
		}

		this.#shares?.plan(nowMs, {earlierLeasesEndMs: controller.earlierLeasesEndMs, renewedMs: nowMs - this.#lease.measureRenewalAgeMs()});

		// A range that its owner has released has no owner until the store records the new one.
		// So moves are started only while the store answers.
		if (this.#lease.measureRenewalAgeMs() < times.maxRenewalAgeMs) {
			this.#planMoves(controller, nowMs);
		}

		if (!this.#isWriting && nowMs >= this.#outage.retryMs) {
			this.#isWriting = true;
			try {
				await this.#renewAndWriteMaps(controller);
			} finally {
				this.#isWriting = false;
			}
		}
	}

	#planMoves(controller: RangeController, nowMs: number): void {
		const rules = this.#opts.getRules();
		const moves = rules === undefined ? [] : controller.planMoves(rules, nowMs);
		if (moves.length > 0) {
			this.#opts.onEvent({
				kind: 'moves-planned', epoch: controller.epoch, moves: moves.map(({from, to, owner, target}) => `${from}-${to} ${owner}>${target}`).join(' '),
			});
			this.#requestOwnerHeartbeats(controller, moves.map(({owner}) => owner));
		}
	}

	async #renewAndWriteMaps(controller: RangeController): Promise<void> {
		if (this.#lease.isEraOver) {
			await this.#renewInEra(controller);
			return;
		}

		const maps = controller.planMaps(this.#opts.getRules() ?? noOwnershipRules, this.#readNowMs());
		if (maps.length === 0 && this.#lease.measureRenewalAgeMs() < times.renewalIntervalMs) {
			return;
		}

		if (this.#readNowMs() - this.#lastReadMs >= times.cleanupIntervalMs) {
			// The next write removes the obsolete rows that this read finds.
			await this.#readBack(controller);
			return;
		}

		const written = await this.#lease.write(this.#createRenewal(controller, maps));
		if (this.#controller !== controller) {
			return;
		}

		if (written.isErr()) {
			this.#outage.recordFailure('renew the controller lease', written.error.error.message);
			if (this.#lease.isEraOver) {
				await this.#renewInEra(controller);
			} else if (written.error.kind !== 'unavailable') {
				await this.#readBack(controller);
			}

			return;
		}

		this.#outage.recordSuccess();
		if (maps.length > 0) {
			this.#opts.onEvent({kind: 'maps-written', epoch: controller.epoch, maps: formatMaps(maps)});
			this.#requestOwnerHeartbeats(controller, maps.flatMap(map => controller.recordWrittenMap(map)));
		}
	}

	/** Writes the controller's state again after the store returned from a copy: this node knows more than the copy does. */
	async #renewInEra(controller: RangeController): Promise<void> {
		const {era: earlierEra} = this.#lease;
		if (this.#lease.measureRenewalAgeMs() >= controllerTermMs * (1 - maxClockDrift)) {
			// Another node may have taken over before the store returned, and its rows are lost.
			controller.recordUnknownController(this.#readNowMs() + leaseHorizonMs);
			this.#shares?.recordUnknownController();
		}

		const continued = await this.#lease.renewInEra(era => this.#createRenewal(controller, controller.maps.map(map => updateEra(map, era))));
		if (this.#controller !== controller) {
			return;
		}

		if (continued.isErr()) {
			this.#outage.recordFailure('write the state again after the store returned from an older copy', continued.error.error.message);
		} else if (continued.value.kind === 'lost') {
			this.#stepDown(`epoch ${continued.value.epoch} took over after the store returned from an older copy`);
		} else {
			this.#outage.recordSuccess();
			const {written: maps, rowVersion, heldVersion} = continued.value;
			controller.startEra(this.#lease.era, maps);
			this.#opts.onEvent({
				kind: 'continued', epoch: controller.epoch, era: this.#lease.era, earlierEra, version: rowVersion, heldVersion,
				maps: formatMaps(maps),
			});
		}
	}

	async #readBack(controller: RangeController): Promise<void> {
		this.#lastReadMs = this.#readNowMs();
		const readBack = await this.#lease.readBack();
		if (this.#controller !== controller) {
			return;
		}

		if (readBack.isErr()) {
			this.#outage.recordFailure('read back the controller row', readBack.error.error.message);
		} else if (readBack.value.kind === 'lost') {
			this.#stepDown(`the controller lease is lost: epoch ${readBack.value.epoch} is in the store`);
		} else {
			const {written, rowVersion, heldVersion} = readBack.value;
			this.#opts.onEvent({
				kind: 'read-back', epoch: controller.epoch, version: rowVersion, heldVersion, maps: formatMaps(written),
			});
			this.#requestOwnerHeartbeats(controller, written.flatMap(map => controller.recordWrittenMap(map)));
		}
	}

	#createRenewal(controller: RangeController, maps: readonly RangeMap[]): Renewal {
		return {...this.#vouchers.createRenewal(controller, maps, this.#readNowMs()), shareHolders: this.#shares?.listHolders()};
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
		this.#shares = undefined;
		this.#timer?.close();
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
