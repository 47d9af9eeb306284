import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import {BackendRegistration, type RegistrationResult} from '@buckthornpoint/backend-link/backend-registration.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {LapseClock} from '@buckthornpoint/clock/lapse-clock.js';
import type {BackendHeartbeat} from '@buckthornpoint/fleet/announcements.js';
import type {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import type {BackendReport, HeartbeatReply} from '@buckthornpoint/key-ranges/messages.js';
import type {BackendKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {RangeMember, type Grant} from '@buckthornpoint/key-ranges/range-member.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {MeshSettings} from './settings.js';
import type {MeshTimes} from './timeouts.js';

/** What the watch works with. */
export type BackendWatchOpts = {
	readonly settings: MeshSettings;
	readonly times: MeshTimes;
	readonly clock: Clock;
	readonly lapseClock: LapseClock;
	readonly view: FleetView;
	readonly log: Log;
	/** Called when the controller should hear of a change at once. */
	readonly onChange: () => void;
};

/** Below this share of its slots a server gives no keys away for its load, and its node does not report the load of each range. */
const reportedDemand = 0.3;

/** Keeps track of the backend server beside: what it announces, what it may hold, and how the gate may use it. */
export class BackendWatch {
	readonly member: RangeMember;
	readonly #opts: BackendWatchOpts;
	readonly #registration: BackendRegistration;
	#gate: BackendGate | undefined;
	#evacuatedSinceMs: number | undefined;

	constructor(opts: BackendWatchOpts) {
		this.#opts = opts;
		this.member = new RangeMember({holdMs: opts.times.holdMs}, opts.lapseClock.readNowMs());
		this.#registration = new BackendRegistration({
			address: opts.settings.backendServer,
			isKnownService: service => service === opts.settings.service || opts.view.table?.services.has(service) === true,
		});
	}

	/** The gate needs the watch to know which keys are held, and the watch tells the gate about the server. */
	setGate(gate: BackendGate): void {
		this.#gate = gate;
	}

	/** The service whose requests begin on this VM. */
	getCallerService(): string {
		return this.#registration.current?.service ?? this.#opts.settings.service;
	}

	isHeld(key: number): boolean {
		return this.member.isHeld(key, this.#opts.lapseClock.readNowMs());
	}

	/** Takes a heartbeat and says what the server is to hold. */
	handleHeartbeat(heartbeat: BackendHeartbeat): {readonly result: RegistrationResult; readonly grant: Grant | undefined} {
		const result = this.#registration.handleHeartbeat(heartbeat, this.#readNowMs());
		const {current} = this.#registration;
		if (result.kind !== 'accepted' || current === undefined) {
			if (result.kind !== 'accepted') {
				this.#opts.log.write({event: 'announcement-ignored', id: heartbeat.id, reason: result.reason});
			}

			return {result, grant: undefined};
		}

		if (result.isStateChange) {
			this.#opts.log.write({
				event: 'backend-state', key: current.key, service: current.service, state: current.state, coldMs: Math.round(heartbeat.coldMs), reason: result.isNewRun ? 'a new run' : 'it says so',
			});
		}

		this.member.setBackend(current.key);
		this.#gate?.noteAlive();
		this.refresh();
		const isDivided = this.#isDivided(current.service);
		const grant = isDivided
			? this.member.grant({key: current.key, holds: heartbeat.holds, released: heartbeat.released}, this.#opts.lapseClock.readNowMs())
			: undefined;
		if (result.isStateChange || heartbeat.released.length > 0) {
			this.#opts.onChange();
		}

		return {result, grant};
	}

	/** Takes note that the server leaves. */
	handleLeave(id: string, bornMs: number): void {
		if (this.#registration.handleLeave(id, bornMs, this.#readNowMs())) {
			const {current} = this.#registration;
			this.#opts.log.write({
				event: 'backend-state', key: current?.key ?? '', service: current?.service ?? '', state: 'gone', coldMs: 0, reason: 'it took its leave',
			});
			this.refresh();
			this.#opts.onChange();
		} else {
			this.#opts.log.write({event: 'announcement-ignored', id, reason: 'it is not the server beside'});
		}
	}

	/** Takes note that nobody listens at the server's address. */
	noteGone(): void {
		const key = this.#registration.noteGone();
		if (key !== undefined) {
			this.#opts.log.write({
				event: 'backend-state', key, service: this.getCallerService(), state: 'ended', coldMs: 0, reason: 'nobody listens at its address',
			});
			this.member.setBackend(undefined);
			this.refresh();
			this.#opts.onChange();
		}
	}

	/** Takes over a controller's answer to a heartbeat that was sent at `sentMs` for `backend`. Returns whether the list of ranges changed. */
	applyReply(reply: HeartbeatReply, sentMs: number, backend: BackendKey | undefined): boolean {
		if (this.#registration.noteLeft(reply.left ?? [])) {
			const {current} = this.#registration;
			this.#opts.log.write({
				event: 'backend-state', key: current?.key ?? '', service: current?.service ?? '', state: 'draining', coldMs: 0, reason: 'it told an earlier process of this node',
			});
			this.refresh();
			this.#opts.onChange();
		}

		return this.member.applyReply(reply, sentMs, backend);
	}

	noteCold(coldMs: number): void {
		this.#registration.noteCold(coldMs, this.#readNowMs());
		this.refresh();
	}

	/** Tells the gate how it may use the server now. */
	refresh(): void {
		const nowMs = this.#readNowMs();
		this.#noteEvacuation(nowMs);
		const {current} = this.#registration;
		if (current === undefined) {
			this.#gate?.setBackend(undefined);
			return;
		}

		const policy = this.#opts.view.table?.services.get(current.service);
		const leaving = this.#deriveLeaving();
		this.#gate?.setBackend({
			id: current.id,
			service: current.service,
			slots: current.slots,
			isDivided: policy?.isDivided ?? false,
			coldPerS: nowMs < current.coldUntilMs ? policy?.coldPerS ?? 1 : undefined,
			...(leaving !== undefined && {leaving}),
		});
	}

	/** What the controller is told of the server. */
	createReport(): BackendReport | undefined {
		const {current} = this.#registration;
		if (current === undefined) {
			return undefined;
		}

		const nowMs = this.#readNowMs();
		const isDivided = this.#isDivided(current.service);
		const demand = this.#gate?.readDemand() ?? 0;
		return {
			key: current.key,
			id: current.id,
			service: current.service,
			state: current.state,
			slots: current.slots,
			isCold: nowMs < current.coldUntilMs,
			silentMs: Math.round(nowMs - current.heardMs),
			demand: Math.round(demand * 100) / 100,
			perS: Math.round((this.#gate?.readOfferedPerS() ?? 0) * 10) / 10,
			rangeLoads: isDivided && demand >= reportedDemand ? this.#gate?.listRangeLoads(this.member.listAssigned()) ?? [] : [],
			assignmentVersion: this.member.assignmentVersion,
			stillHeld: isDivided ? this.member.listStillHeld(this.#opts.lapseClock.readNowMs()) : [],
			released: this.member.listReleased(this.#opts.lapseClock.readNowMs()),
		};
	}

	listEnded(): readonly string[] {
		return this.#registration.ended;
	}

	#deriveLeaving(): {readonly reason: 'leaving' | 'evacuated'; readonly lastSendMs: number} | undefined {
		const {current} = this.#registration;
		if (current?.leavingSinceMs !== undefined) {
			return {reason: 'leaving', lastSendMs: current.leavingSinceMs + this.#opts.times.leavingMs};
		}

		return this.#evacuatedSinceMs === undefined ? undefined : {reason: 'evacuated', lastSendMs: this.#evacuatedSinceMs + this.#opts.times.evacuationMs};
	}

	/** Servers may have become cold while their failure domain was empty: until they say otherwise they count as cold. */
	#noteEvacuation(nowMs: number): void {
		const isEvacuated = this.#opts.view.isEvacuated(this.#opts.settings.failureDomain);
		if (isEvacuated) {
			this.#evacuatedSinceMs ??= nowMs;
		} else if (this.#evacuatedSinceMs !== undefined) {
			this.#evacuatedSinceMs = undefined;
			const policy = this.#opts.view.table?.services.get(this.getCallerService());
			this.#registration.noteCold(policy?.coldMs ?? 0, nowMs);
		}
	}

	#isDivided(service: string): boolean {
		return this.#opts.view.table?.services.get(service)?.isDivided ?? false;
	}

	#readNowMs(): number {
		return this.#opts.clock.readMoment().monotonicMs;
	}
}
