import type {Log} from '@buckthornpoint/log/log.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import type {CellEvent} from '@buckthornpoint/ownership/machine.js';
import type {OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {measureImbalance} from '@buckthornpoint/placement/measure-imbalance.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';

/** Writes events and state changes of the cell to the log and the metrics. */
export class CellReporter {
	readonly #log: Log;
	readonly #metrics: Metrics;

	constructor(log: Log, metrics: Metrics) {
		this.#log = log;
		this.#metrics = metrics;
	}

	/** Logs an event of the state machine and counts takeovers and moved partitions. */
	reportEvent(event: CellEvent): void {
		const {name, ...detail} = event;
		this.#log.write({event: 'cell-event', name, detail: JSON.stringify(detail)});
		if (event.name === 'controller-lease-acquired') {
			this.#metrics.addCount('cell.takeovers', 1);
		}

		if (event.name === 'partitions-moved') {
			this.#metrics.addCount('cell.partitions-moved', event.count, {reason: event.reason});
		}
	}

	/** Reports the number of partitions owned by the node. */
	reportOwnership(view: OwnershipView): void {
		this.#metrics.setGauge('cell.partitions-owned', view.leaseEnd === undefined ? 0 : view.grants.size);
	}

	/** Reports the number of members and the imbalance of the placements. */
	reportRouting({map, members}: RoutingTable): void {
		this.#metrics.setGauge('cell.members', members.length);
		for (const placement of map.placements) {
			this.#metrics.setGauge('cell.imbalance', measureImbalance(placement), {service: placement.service});
		}
	}

	/** Reports a configuration that has come into force. */
	reportConfiguration({version}: Configuration): void {
		this.#log.write({event: 'configuration-in-force', version});
		this.#metrics.setGauge('configuration.version', version);
	}
}
