import type {Log} from '@buckthornpoint/log/log.js';
import {HumanLog, JsonLog, SilentLog} from '@buckthornpoint/log/reporters.js';
import {SilentMetrics, type Metrics} from '@buckthornpoint/metrics/metrics.js';
import {StatsdMetrics} from '@buckthornpoint/metrics/statsd-metrics.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';

/** Creates the log selected in the settings. */
export function createLog(settings: NodeSettings): Log {
	const {reporter, level} = settings.log;
	switch (reporter) {
		case 'human': {
			return new HumanLog(level);
		}

		case 'json': {
			return new JsonLog(level);
		}

		case 'silent': {
			return new SilentLog();
		}
	}
}

/** Creates the metrics selected in the settings. */
export function createMetrics(settings: NodeSettings): Metrics {
	if (settings.metrics === undefined) {
		return new SilentMetrics();
	}

	return new StatsdMetrics({
		...settings.metrics,
		globalTags: {vm: settings.vmId, cell: settings.cell, failureDomain: settings.failureDomain},
	});
}
