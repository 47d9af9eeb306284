import type {ControlEvent} from '@buckthornpoint/cell-link/control-event.js';
import type {StoreEraEvent} from '@buckthornpoint/fleet/fleet-store.js';
import type {FinishedRequest} from '@buckthornpoint/ingress/finished-request.js';
import type {Log} from '@buckthornpoint/log/log.js';

/** Logs an event of the control task. */
export function logControlEvent(log: Log, event: ControlEvent): void {
	if (event.kind === 'store-failed') {
		log.write({event: 'store-lost', by: 'control', message: `${event.operation}: ${event.problem}`});
	} else if (event.kind === 'store-regained') {
		log.write({event: 'store-regained', by: 'control', awayMs: event.awayMs});
	} else {
		const {kind, ...detail} = event;
		log.write({event: 'control-event', kind, detail: JSON.stringify(detail)});
	}
}

/** Logs a change of the store's era. */
export function logEraEvent(log: Log, event: StoreEraEvent): void {
	if (event.kind === 'era-began') {
		log.write({event: 'store-era', era: event.era, earlierEra: event.earlierEra});
	} else {
		log.write({event: 'store-era-invalid', message: `${event.problem}; the latest era is kept`});
	}
}

/** Logs a request that got no answer from a backend server, and the facts behind the outcome. */
export function logRequest(log: Log, {outcome, ...facts}: FinishedRequest): void {
	switch (outcome) {
		case 'not-run': {
			log.write({event: 'request-refused', ...facts});
			break;
		}

		case 'unknown': {
			log.write({event: 'request-unknown', ...facts});
			break;
		}

		case 'bad-request': {
			log.write({event: 'request-rejected', ...facts});
			break;
		}

		case 'cancelled': {
			log.write({event: 'request-cancelled', ...facts});
			break;
		}

		case 'answer': {
			// Answered requests are the normal case: they are counted in metrics, not logged.
			break;
		}
	}
}
