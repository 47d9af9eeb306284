import {
	measureElapsedMs, type Clock, type Timestamp, type Timer,
} from '@buckthornpoint/clock/clock.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';

const silenceTimeoutMs = 5000;
const checkIntervalMs = 1000;

/** Receiver of the events of a `BackendServerWatch`. */
export type BackendServerListener = {
	/** Called for each announcement, whether first or repeated. */
	recordAnnouncement(backendServer: BackendServer): void;
	/** Called when no announcement has arrived for `silenceTimeoutMs`. */
	recordSilence(): void;
};

/** Receives the announcements of the local backend server and detects when they stop. */
export class BackendServerWatch {
	readonly #clock: Clock;
	readonly #listener: BackendServerListener;
	#lastAnnouncedAt: Timestamp | undefined;
	#timer: Timer | undefined;

	constructor(clock: Clock, listener: BackendServerListener) {
		this.#clock = clock;
		this.#listener = listener;
	}

	/** Records an announcement. */
	record(backendServer: BackendServer): void {
		this.#lastAnnouncedAt = this.#clock.readTimestamp();
		this.#listener.recordAnnouncement(backendServer);
		this.#timer ??= this.#startCheck();
	}

	close(): void {
		this.#timer?.close();
	}

	#startCheck(): Timer {
		return this.#clock.startTimer(checkIntervalMs, () => {
			this.#timer = undefined;
			this.#checkSilence();
		});
	}

	#checkSilence(): void {
		if (this.#lastAnnouncedAt === undefined) {
			return;
		}

		if (measureElapsedMs(this.#lastAnnouncedAt, this.#clock.readTimestamp()) < silenceTimeoutMs) {
			this.#timer = this.#startCheck();
			return;
		}

		this.#lastAnnouncedAt = undefined;
		this.#listener.recordSilence();
	}
}
