/* eslint-disable @typescript-eslint/naming-convention -- names of metrics have dots */
/** All metrics with their kinds and units. docs/METRICS.md explains each. The meaning of a name never changes. */
export const metrics = {
	'request.duration': {kind: 'histogram', unit: 'ms'},
	'request.finished': {kind: 'counter', unit: 'requests'},
	'request.failed': {kind: 'counter', unit: 'requests'},
	'request.repeated': {kind: 'counter', unit: 'attempts'},
	'request.hedged': {kind: 'counter', unit: 'attempts'},
	'guard.waiting': {kind: 'gauge', unit: 'requests'},
	'guard.wait': {kind: 'histogram', unit: 'ms'},
	'guard.running': {kind: 'gauge', unit: 'requests'},
	'guard.limit': {kind: 'gauge', unit: 'requests'},
	'guard.shed': {kind: 'counter', unit: 'requests'},
	'guard.connections-replaced': {kind: 'counter', unit: 'connections'},
	'backend-server.duration': {kind: 'histogram', unit: 'ms'},
	'cell.bytes-sent': {kind: 'counter', unit: 'bytes'},
	'cell.lease-age': {kind: 'gauge', unit: 'ms'},
	'cell.partitions-owned': {kind: 'gauge', unit: 'partitions'},
	'cell.partitions-moved': {kind: 'counter', unit: 'partitions'},
	'cell.imbalance': {kind: 'gauge', unit: 'ratio'},
	'cell.without-service': {kind: 'histogram', unit: 'ms'},
	'cell.members': {kind: 'gauge', unit: 'members'},
	'cell.takeovers': {kind: 'counter', unit: 'takeovers'},
	'configuration.version': {kind: 'gauge', unit: 'version'},
	'store.operation': {kind: 'histogram', unit: 'ms'},
	'store.failed': {kind: 'counter', unit: 'operations'},
} as const satisfies Record<string, {readonly kind: 'counter' | 'gauge' | 'histogram'; readonly unit: string}>;

/** The name of a metric. */
export type MetricName = keyof typeof metrics;

type NamesOfKind<Kind> = {[Name in MetricName]: typeof metrics[Name]['kind'] extends Kind ? Name : never}[MetricName];

/** The name of a counter. */
export type CounterName = NamesOfKind<'counter'>;
/** The name of a gauge. */
export type GaugeName = NamesOfKind<'gauge'>;
/** The name of a histogram. */
export type HistogramName = NamesOfKind<'histogram'>;
