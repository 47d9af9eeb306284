import {measureElapsed, type Clock, type Moment, type Timer} from '@buckthornpoint/clock/clock.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';

const silenceMs = 5000;
const checkIntervalMs = 1000;

/** Whom the watch tells what it hears. */
export type BackendServerListener = {
	/** A backend server announced itself for the first time, or something about it changed. */
	announce(backendServer: BackendServer): void;
	/** The backend server has not repeated its announcement in time. */
	noteSilence(): void;
};

/** What the watch works with. */
export type BackendServerWatchOpts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly listener: BackendServerListener;
};

type Announcement = {
	readonly backendServer: BackendServer;
	readonly heardAt: Moment;
};

/** Hears the announcements of the backend server beside the node, and notices when they cease. */
export class BackendServerWatch {
	readonly #opts: BackendServerWatchOpts;
	#last: Announcement | undefined;
	#timer: Timer | undefined;

	constructor(opts: BackendServerWatchOpts) {
		this.#opts = opts;
	}

	/** Takes an announcement; one that repeats the last only shows that the backend server is there. */
	record(backendServer: BackendServer): void {
		const isKnown = this.#last !== undefined && isSameAnnouncement(this.#last.backendServer, backendServer);
		this.#last = {backendServer, heardAt: this.#opts.clock.readMoment()};
		if (!isKnown) {
			const {name, service, incarnation} = backendServer;
			this.#opts.log.write({
				event: 'backend-server-announced', name, service, incarnation,
			});
			this.#opts.listener.announce(backendServer);
		}

		this.#timer ??= this.#startCheck();
	}

	/** Stops watching. */
	close(): void {
		this.#timer?.close();
	}

	#startCheck(): Timer {
		return this.#opts.clock.startTimer(checkIntervalMs, () => {
			this.#timer = undefined;
			this.#checkSilence();
		});
	}

	#checkSilence(): void {
		if (this.#last === undefined) {
			return;
		}

		if (measureElapsed(this.#last.heardAt, this.#opts.clock.readMoment()) < silenceMs) {
			this.#timer = this.#startCheck();
			return;
		}

		const {name, service} = this.#last.backendServer;
		this.#last = undefined;
		this.#opts.log.write({event: 'backend-server-silent', name, service});
		this.#opts.listener.noteSilence();
	}
}

function isSameAnnouncement(left: BackendServer, right: BackendServer): boolean {
	return left.name === right.name
		&& left.service === right.service
		&& left.origin === right.origin
		&& left.slots === right.slots
		&& left.checksFence === right.checksFence
		&& left.incarnation === right.incarnation
		&& left.leaving === right.leaving;
}
