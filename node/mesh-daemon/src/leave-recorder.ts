import type {Leave} from '@buckthornpoint/backend-link/backend-registration.js';
import {encodeLeaveRecord} from '@buckthornpoint/cell-link/leave-record.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {FleetStore} from '@buckthornpoint/fleet/fleet-store.js';
import {formatBackendInstanceKey, type BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {Log} from '@buckthornpoint/log/log.js';

/** Dependencies of a `LeaveRecorder`. */
export type LeaveRecorderOpts = {
	readonly vmId: string;
	readonly store: Pick<FleetStore, 'commit'>;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	/** Whether this process is the controller: then no other process can confirm an announcement. */
	readonly isLeading: () => boolean;
};

/** How long an announcement waits for the second of its two records, the store's and the controller's. */
const secondRecordTimeoutMs = 300;

/** How long an announcement waits for the first record. The server ignores an acknowledgement that takes longer than a second. */
const firstRecordTimeoutMs = 800;

/** Delay after a failed write. A random part of up to the same length is added. */
const retryDelayMs = 150;

/** Limit of the exponential backoff of failed writes. */
const maxRetryDelayMs = 2400;

/** Number of announcements that are written again when the store returns from an older copy. */
const maxAnnouncements = 4;

type Announcement = {
	readonly leave: Leave;
	isStored: boolean;
	hasWriteFailed: boolean;
	/** Whether the controller, on another VM, has listed the instance as leaving. */
	isConfirmed: boolean;
	readonly waiters: Set<() => void>;
};

/**
 * Records which instances of the local backend server announced that they leave, where later processes of this node find it: in
 * the store, and at the controller for the case that the store can't be read. Only recorded announcements are acknowledged.
 */
export class LeaveRecorder {
	readonly #opts: LeaveRecorderOpts;
	readonly #announcements = new Map<BackendInstanceKey, Announcement>();
	readonly #closed = new AbortController();

	constructor(opts: LeaveRecorderOpts) {
		this.#opts = opts;
	}

	/** Records an announcement. Returns whether later processes of this node will find it. */
	async record(leave: Leave): Promise<boolean> {
		const {clock, log} = this.#opts;
		const key = formatBackendInstanceKey(leave.id, leave.bornMs);
		const announcement = this.#announcements.get(key) ?? this.#add(key, leave);
		const isRecorded = (): boolean => announcement.isStored || announcement.isConfirmed;
		// The answers to later heartbeats renew the server's keys and must not wait again.
		if (isRecorded()) {
			return true;
		}

		const startMs = clock.readTimestamp().monotonicMs;
		const isComplete = (): boolean => (announcement.isStored || announcement.hasWriteFailed) && (announcement.isConfirmed || this.#opts.isLeading());
		await this.#waitUntil(announcement, isComplete, secondRecordTimeoutMs);
		await this.#waitUntil(announcement, isRecorded, firstRecordTimeoutMs - (clock.readTimestamp().monotonicMs - startMs));
		if (!isRecorded()) {
			log.write({event: 'leave-not-recorded', key, message: 'neither the store nor the controller has the announcement; it is not acknowledged, and the server has to repeat it'});
		}

		return isRecorded();
	}

	/** Records that the controller, on another VM, lists these instances as leaving. */
	recordConfirmed(keys: readonly BackendInstanceKey[]): void {
		for (const key of keys) {
			const announcement = this.#announcements.get(key);
			if (announcement !== undefined) {
				announcement.isConfirmed = true;
				notifyWaiters(announcement);
			}
		}
	}

	/** Writes the announcements again: the store returned from a copy that may lack them. */
	writeAgain(): void {
		for (const [key, announcement] of this.#announcements) {
			if (announcement.isStored) {
				announcement.isStored = false;
				void this.#write(key, announcement);
			}
		}
	}

	close(): void {
		this.#closed.abort();
	}

	#add(key: BackendInstanceKey, leave: Leave): Announcement {
		const announcement: Announcement = {
			leave, isStored: false, hasWriteFailed: false, isConfirmed: false, waiters: new Set(),
		};
		this.#announcements.set(key, announcement);
		for (const oldest of [...this.#announcements.keys()].slice(0, -maxAnnouncements)) {
			this.#announcements.delete(oldest);
		}

		void this.#write(key, announcement);
		return announcement;
	}

	async #write(key: BackendInstanceKey, announcement: Announcement): Promise<void> {
		const {store, clock, random, log, vmId} = this.#opts;
		const startMs = clock.readTimestamp().monotonicMs;
		for (let delayMs = retryDelayMs; !this.#closed.signal.aborted; delayMs = Math.min(2 * delayMs, maxRetryDelayMs)) {
			const written = await store.commit({conditions: [], writes: [encodeLeaveRecord({vmId, ...announcement.leave})]});
			if (written.isOk()) {
				announcement.isStored = true;
				notifyWaiters(announcement);
				log.write({
					event: 'leave-recorded', key, isConfirmed: announcement.isConfirmed, tookMs: Math.round(clock.readTimestamp().monotonicMs - startMs),
				});
				return;
			}

			announcement.hasWriteFailed = true;
			notifyWaiters(announcement);
			await clock.sleep(delayMs * (1 + random.generateFraction()), this.#closed.signal);
		}
	}

	async #waitUntil(announcement: Announcement, isDone: () => boolean, timeoutMs: number): Promise<void> {
		if (isDone() || timeoutMs <= 0) {
			return;
		}

		const done = new AbortController();
		const check = (): void => {
			if (isDone()) {
				done.abort();
			}
		};

		announcement.waiters.add(check);
		await this.#opts.clock.sleep(timeoutMs, done.signal);
		announcement.waiters.delete(check);
	}
}

function notifyWaiters({waiters}: Announcement): void {
	for (const notify of waiters) {
		notify();
	}
}
