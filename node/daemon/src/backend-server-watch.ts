import {
	measureElapsed, type Clock, type Moment, type Timer,
} from '@buckthornpoint/clock/clock.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';

const silenceMs = 5000;
const checkIntervalMs = 1000;

/** Whom the watch tells what it hears. */
export type BackendServerListener = {
	/** The backend server announced itself, for the first time or again. */
	recordAnnouncement(backendServer: BackendServer): void;
	/** The backend server has not repeated its announcement in time. */
	recordSilence(): void;
};

/** Hears the announcements of the backend server beside the node, and notices when they cease. */
export class BackendServerWatch {
	readonly #clock: Clock;
	readonly #listener: BackendServerListener;
	#heardAt: Moment | undefined;
	#timer: Timer | undefined;

	constructor(clock: Clock, listener: BackendServerListener) {
		this.#clock = clock;
		this.#listener = listener;
	}

	/** Takes an announcement. */
	record(backendServer: BackendServer): void {
		this.#heardAt = this.#clock.readMoment();
		this.#listener.recordAnnouncement(backendServer);
		this.#timer ??= this.#startCheck();
	}

	/** Stops watching. */
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
		if (this.#heardAt === undefined) {
			return;
		}

		if (measureElapsed(this.#heardAt, this.#clock.readMoment()) < silenceMs) {
			this.#timer = this.#startCheck();
			return;
		}

		this.#heardAt = undefined;
		this.#listener.recordSilence();
	}
}
