import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import {BackendRegistration, type Leave, type RegistrationResult} from '@buckthornpoint/backend-link/backend-registration.js';
import type {ReadinessEvidence, ReadinessProof} from '@buckthornpoint/backend-link/readiness-evidence.js';
import type {BackendHeartbeat} from '@buckthornpoint/fleet/announcements.js';
import {maxInstancesPerVm} from '@buckthornpoint/key-ranges/leaving-instances.js';
import type {BackendReport, HeartbeatReply} from '@buckthornpoint/key-ranges/messages.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {RangeMember, type BackendHoldings, type Grant} from '@buckthornpoint/key-ranges/range-member.js';
import type {BackendWatchOpts} from './backend-watch-opts.js';
import {createBackendReport} from './create-backend-report.js';

/** How long a node that starts waits for the store's list of announcements. The store usually answers within 10 ms. */
const leaveLookupTimeoutMs = 300;

/** Tracks the state of the local backend server from its announcements, grants key ranges to it, and passes its state on to the gate. */
export class BackendWatch {
	readonly member: RangeMember;
	readonly #opts: BackendWatchOpts;
	readonly #registration: BackendRegistration;
	readonly #evidence: ReadinessEvidence;
	#gate: BackendGate | undefined;
	#evacuatedSinceMs: number | undefined;
	/** Whether the node knows which instances of the server announced to an earlier node process that they leave. Until then none is reported to the controller. */
	#areLeavesKnown = false;
	/** From this time on the store counts as unavailable if it has not been asked for the announcements. */
	#leaveLookupEndMs: number;
	/** Whether the evacuation orders were known at the last refresh. */
	#hadOrders = false;

	constructor(opts: BackendWatchOpts) {
		this.#opts = opts;
		this.#leaveLookupEndMs = this.#readNowMs() + leaveLookupTimeoutMs;
		this.member = new RangeMember({grantMs: opts.timeouts.holdMs}, opts.leaseClock.readNowMs());
		this.#registration = new BackendRegistration({
			address: opts.settings.backendServer,
			isKnownService: service => service === opts.settings.service || opts.view.routeTable?.services.has(service) === true,
		});
		this.#evidence = opts.createEvidence(proof => {
			this.#handleProof(proof);
		});
	}

	/** Stops the health checks. */
	close(): void {
		this.#evidence.close();
	}

	/** The server instance that registered last; undefined before the first heartbeat. */
	get current(): BackendRegistration['current'] {
		return this.#registration.current;
	}

	/** Sets the gate, which is informed of changes to the server. It is set after construction because the gate also needs the watch. */
	setGate(gate: BackendGate): void {
		this.#gate = gate;
	}

	/** Returns the service of the local backend server. Requests that originate on this VM are made on its behalf. */
	getLocalService(): string {
		return this.#registration.current?.service ?? this.#opts.settings.service;
	}

	isHeld(key: number): boolean {
		return this.member.isHeld(key, this.#opts.leaseClock.readNowMs());
	}

	/** Applies a heartbeat of the backend server. Returns the result, and the key ranges that are granted to the server if its service is partitioned. */
	handleHeartbeat(heartbeat: BackendHeartbeat): {readonly result: RegistrationResult; readonly grant: Grant | undefined} {
		const result = this.#registration.handleHeartbeat(heartbeat, this.#readNowMs());
		const {current} = this.#registration;
		if (result.kind !== 'accepted' || current === undefined) {
			if (result.kind !== 'accepted') {
				this.#opts.log.write({event: 'announcement-ignored', id: heartbeat.id, reason: result.reason});
			}

			if (result.kind === 'outdated' && result.isStateChange) {
				this.#reportLeaving('announced by the server, out of order');
			}

			return {result, grant: undefined};
		}

		if (result.isStateChange) {
			this.#opts.log.write({
				event: 'backend-state', key: current.key, service: current.service, state: current.state, coldMs: Math.round(heartbeat.coldMs),
				reason: result.isNewInstance ? 'a new run' : 'announced by the server',
			});
		}

		this.member.setBackend(current.key);
		this.#gate?.recordLiveness();
		this.#evidence.recordHeartbeat(current);
		this.refresh();
		const holdings: BackendHoldings = {key: current.key, holds: heartbeat.holds, released: heartbeat.released};
		this.member.recordHoldings(holdings, this.#opts.leaseClock.readNowMs());
		const grant = this.#isPartitionedByKey(current.service) === true ? this.member.grant(holdings, this.#opts.leaseClock.readNowMs()) : undefined;
		if (result.isStateChange || heartbeat.released.length > 0) {
			this.#opts.onChange();
		}

		return {result, grant};
	}

	/** Handles a leave call: the server is deregistering. Returns the leaving instance as far as it is known. */
	handleLeave(id: string, bornMs: number): Leave {
		const {monotonicMs, wallMs} = this.#opts.clock.readTimestamp();
		const {leave, isCurrent} = this.#registration.handleLeave({id, bornMs, leftAtMs: wallMs}, monotonicMs);
		if (isCurrent) {
			const {current} = this.#registration;
			this.#opts.log.write({
				event: 'backend-state', key: current?.key ?? '', service: current?.service ?? '', state: 'gone', coldMs: 0, reason: 'the server deregistered',
			});
			this.refresh();
			this.#opts.onChange();
		} else {
			this.#opts.log.write({event: 'announcement-ignored', id, reason: 'the leave call names no registered instance; it applies to later heartbeats of that instance'});
			this.#opts.onChange();
		}

		return leave;
	}

	/** Records that no process listens at the server's address. */
	recordServerGone(): void {
		const key = this.#registration.recordGone();
		if (key !== undefined) {
			this.#opts.log.write({
				event: 'backend-state', key, service: this.getLocalService(), state: 'ended', coldMs: 0, reason: 'no process listens at its address',
			});
			this.member.setBackend(undefined);
			this.refresh();
			this.#opts.onChange();
		}
	}

	/** Applies the announcements that the store has from earlier node processes; undefined if the store could not be asked. */
	recordLeaves(leaves: readonly Leave[] | undefined): void {
		if (leaves === undefined) {
			this.#leaveLookupEndMs = Math.min(this.#leaveLookupEndMs, this.#readNowMs());
			this.refresh();
			return;
		}

		const isNewlyLeaving = this.#registration.recordLeaves(leaves);
		this.#setLeavesKnown();
		if (isNewlyLeaving) {
			this.#reportLeaving('announced to an earlier node process');
		}
	}

	/** Applies the controller's reply to a heartbeat that was sent at `sentMs` and reported `backend`. Returns whether the assigned ranges changed. */
	applyReply(reply: HeartbeatReply, sentMs: number, backend: BackendInstanceKey | undefined): boolean {
		this.#applyLeaving(reply.left ?? [], {sinceMs: Number.NEGATIVE_INFINITY, reason: 'the server deregistered at an earlier node process'});
		if (this.#isLeaveLookupOver()) {
			this.#setLeavesKnown();
		}

		return this.member.applyReply(reply, sentMs, backend);
	}

	/** Records that a server instance stated in an answer that it is leaving. */
	recordLeaving(key: BackendInstanceKey, sinceMs: number): void {
		this.#applyLeaving([key], {sinceMs, reason: 'stated in an answer of the server'});
	}

	recordCold(coldMs: number): void {
		this.#registration.recordCold(coldMs, this.#readNowMs());
		this.refresh();
	}

	/** Updates the gate with the current state of the server. */
	refresh(): void {
		const nowMs = this.#readNowMs();
		this.#updateEvacuation(nowMs);
		// While the store is unavailable, requests of other nodes are accepted: these know from the directory whether the server leaves.
		const current = this.#areLeavesKnown || this.#isLeaveLookupOver() ? this.#getUsable() : undefined;
		if (current === undefined) {
			this.#gate?.setBackend(undefined);
			return;
		}

		const policy = this.#opts.view.routeTable?.services.get(current.service);
		const leaving = this.#deriveLeaving();
		this.#gate?.setBackend({
			id: current.id,
			key: current.key,
			service: current.service,
			slots: current.slots,
			isDivided: policy?.isDivided ?? false,
			isShared: this.#opts.view.sharedServices.has(current.service),
			coldPerS: nowMs < current.coldUntilMs ? policy?.coldPerS ?? 1 : undefined,
			...(leaving !== undefined && {leaving}),
		});
	}

	/** Creates the report on the server for a heartbeat to the controller. */
	createReport(): BackendReport | undefined {
		const current = this.#areLeavesKnown ? this.#getUsable() : undefined;
		return current === undefined
			? undefined
			: createBackendReport(current, {
				gate: this.#gate,
				member: this.member,
				nowMs: this.#readNowMs(),
				leaseNowMs: this.#opts.leaseClock.readNowMs(),
				mayBePartitioned: this.#isPartitionedByKey(current.service) !== false,
				isByRate: this.#opts.settings.balance === 'by-rate',
			});
	}

	listEndedInstances(): readonly string[] {
		return this.#registration.ended;
	}

	/** Lists the latest instances that are known to be leaving, the latest last. */
	listLeavingInstances(): readonly BackendInstanceKey[] {
		return this.#registration.listLeaving().slice(-maxInstancesPerVm);
	}

	/** The registered instance, if it was shown to be ready or is known to leave. */
	#getUsable(): BackendRegistration['current'] {
		const {current} = this.#registration;
		return current?.state === 'ready' && !this.#evidence.isProved(current.key) ? undefined : current;
	}

	#handleProof({key, by, coldMs, tookMs}: ReadinessProof): void {
		this.#opts.log.write({
			event: 'backend-proved', key, by, tookMs,
		});
		if (coldMs !== undefined) {
			this.#registration.recordCold(coldMs, this.#readNowMs());
		}

		this.refresh();
		this.#opts.onChange();
	}

	#isLeaveLookupOver(): boolean {
		return this.#readNowMs() >= this.#leaveLookupEndMs;
	}

	#setLeavesKnown(): void {
		if (!this.#areLeavesKnown) {
			this.#areLeavesKnown = true;
			this.refresh();
			this.#opts.onChange();
		}
	}

	#deriveLeaving(): {readonly reason: 'leaving' | 'evacuated'; readonly lastSendMs: number} | undefined {
		const {current} = this.#registration;
		if (current?.leavingSinceMs !== undefined) {
			return {reason: 'leaving', lastSendMs: current.leavingSinceMs + this.#opts.timeouts.leavingSendMs};
		}

		return this.#evacuatedSinceMs === undefined ? undefined : {reason: 'evacuated', lastSendMs: this.#evacuatedSinceMs + this.#opts.timeouts.evacuationSendMs};
	}

	#applyLeaving(keys: readonly BackendInstanceKey[], {sinceMs, reason}: {readonly sinceMs: number; readonly reason: string}): void {
		if (this.#registration.recordLeavingInstances(keys, sinceMs)) {
			this.#reportLeaving(reason);
		}
	}

	#reportLeaving(reason: string): void {
		const {current} = this.#registration;
		this.#opts.log.write({
			event: 'backend-state', key: current?.key ?? '', service: current?.service ?? '', state: 'draining', coldMs: 0, reason,
		});
		this.refresh();
		this.#opts.onChange();
	}

	/** A server may become cold while its failure domain is evacuated. It is treated as cold afterwards, until it reports otherwise. */
	#updateEvacuation(nowMs: number): void {
		const isEvacuated = this.#opts.view.isEvacuated(this.#opts.settings.failureDomain);
		if (isEvacuated) {
			// The age of an order that was found at the start is not known.
			this.#evacuatedSinceMs ??= this.#hadOrders ? nowMs : Number.NEGATIVE_INFINITY;
		} else if (this.#evacuatedSinceMs !== undefined) {
			this.#evacuatedSinceMs = undefined;
			const policy = this.#opts.view.routeTable?.services.get(this.getLocalService());
			this.#registration.recordCold(policy?.coldMs ?? 0, nowMs);
		}

		this.#hadOrders = this.#opts.view.hasOrders;
	}

	/** Returns undefined as long as the node has no routes: the server may then hold keys by grants of an earlier node process. */
	#isPartitionedByKey(service: string): boolean | undefined {
		const {routeTable} = this.#opts.view;
		return routeTable === undefined ? undefined : routeTable.services.get(service)?.isDivided ?? false;
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
