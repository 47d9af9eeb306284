import type {
	Counts, FleetReport, NodeReport, ServiceReport,
} from '../fleet/fleet-report.js';
import {formatTable} from './tables.js';

const bytesPerMegabyte = 1_000_000;
const percent = 100;

/** From this value on, digits after the point say nothing. */
const minWhole = 100;

/** Outcomes of requests, in the order of the columns; others follow. */
const outcomes = ['answer', 'not-run', 'unknown', 'bad-request', 'cancelled'];
const retryTimeEvents = ['promised', 'kept', 'broken', 'ended', 'unclaimed', 'displaced'];
const secondTryEvents = ['sent', 'won', 'cancelled', 'failed'];
const accountOutcomes = ['let-through', 'refused'];

/** Formats a report for people. Tables without a row are left out. */
export function formatFleetReport(report: FleetReport, maxNodes: number): string {
	const {services, accounts} = report;
	const unit = report.unit === 'total' ? 'since the start of each node' : 'per second';
	return [
		...formatSummary(report),
		...formatSection('servers by service', formatServers(services)),
		...formatSection(`requests that entered at these nodes, ${unit}`, formatCounts('service', outcomes, services.map(({service, requests}) => [service, requests]))),
		...formatSection(`refusals, ${unit}`, formatRefusals(services)),
		...formatSection(`requests rejected by the nodes, ${unit}`, formatRejections(report.rejections)),
		...formatSection(`promised retry times and displaced requests, ${unit}`, formatCounts('service', retryTimeEvents, services.map(({service, retryTimes}) => [service, retryTimes]))),
		...formatSection(`second tries, ${unit}`, formatCounts('service', secondTryEvents, services.map(({service, secondTries}) => [service, secondTries]))),
		...formatSection(`requests of client accounts, ${unit}`, formatCounts('account', accountOutcomes, accounts.map(({account, outcomes: counts}) => [account, counts]))),
		...formatSection('nodes, the least free capacity first', formatNodes(report, maxNodes)),
		...report.unreadable.map(({address, reason}) => `not read: ${address}: ${reason}`),
	].join('\n');
}

function formatSummary({nodes, unreadable, unit}: FleetReport): readonly string[] {
	const versions = new Set(nodes.map(({routesVersion}) => formatValue(routesVersion)));
	const controllers = nodes.filter(({isController}) => isController).map(node => formatName(node));
	const fullest = nodes.toSorted((left, right) => measureBodyShare(right) - measureBodyShare(left))[0];
	return [
		`${nodes.length} of ${nodes.length + unreadable.length} nodes read${unit === 'total' ? '; counts are totals since the start of each node' : ''}`,
		`controller: ${controllers.length === 0 ? 'none of the nodes that were read' : controllers.join(', ')}`,
		`routes version: ${[...versions].map(version => `${version} on ${nodes.filter(({routesVersion}) => formatValue(routesVersion) === version).length}`).join(', ') || '-'}`,
		`bodies: ${fullest === undefined ? '-' : `at most ${formatBodies(fullest)} MB held, at ${formatName(fullest)}`}`,
	];
}

function formatServers(services: readonly ServiceReport[]): string | undefined {
	const rows = services.filter(({servers}) => servers > 0).map(service => [
		service.service ?? '(not known)',
		service.readyServers === service.servers ? service.servers : `${service.servers} (${service.readyServers} ready)`,
		formatValue(service.running),
		formatValue(service.waiting),
		formatValue(service.slots),
		formatShare(service.demand),
		formatValue(service.offeredPerS),
		formatValue(service.capacityPerS),
		service.limitedServers === 0 ? 'none' : `${formatValue(service.limitPerS)} (${service.limitedServers} of ${service.readyServers} servers)`,
	]);
	return rows.length === 0 ? undefined : formatTable(['service', 'servers', 'in progress', 'waiting', 'slots', 'demand', 'offered/s', 'capacity/s', 'advertised limit/s'], rows);
}

function formatRefusals(services: readonly ServiceReport[]): string | undefined {
	const rows = services.flatMap(({service, refusals}) => refusals.filter(({count}) => count > 0)
		.map(({reason, priority, count}) => [service ?? '(no route)', reason, priority === '' ? '-' : priority, formatValue(count)]));
	return rows.length === 0 ? undefined : formatTable(['service', 'reason', 'priority', 'refused'], rows);
}

function formatRejections(rejections: Counts): string | undefined {
	const rows = Object.entries(rejections).filter(([, count]) => count > 0).map(([status, count]) => [status, formatValue(count)]);
	return rows.length === 0 ? undefined : formatTable(['status', 'rejected'], rows);
}

/** Formats counts in one row for each name, in known columns first; undefined if all are 0. */
function formatCounts(head: string, known: readonly string[], rows: ReadonlyArray<readonly [name: string | undefined, counts: Counts]>): string | undefined {
	const counted = rows.filter(([, counts]) => Object.values(counts).some(count => count > 0));
	const others = new Set(counted.flatMap(([, counts]) => Object.keys(counts)).filter(name => !known.includes(name)));
	const columns = [...known, ...others];
	return counted.length === 0
		? undefined
		: formatTable([head, ...columns], counted.map(([name, counts]) => [name ?? '(no route)', ...columns.map(column => formatValue(counts[column] ?? 0))]));
}

function formatNodes({nodes}: FleetReport, maxNodes: number): string | undefined {
	const rows = nodes.slice(0, maxNodes).map(node => [
		formatName(node),
		node.failureDomain ?? '-',
		node.service ?? '-',
		node.state === undefined || node.state === '' ? '-' : node.state,
		formatShare(node.freeShare),
		`${formatValue(node.offeredPerS)} of ${formatValue(node.capacityPerS)}`,
		`${formatValue(node.running)}+${formatValue(node.waiting)}`,
		formatBodies(node),
		formatValue(node.closedConnections),
		formatValue(node.routesVersion),
	]);
	const head = ['node', 'failure domain', 'service', 'server', 'free', 'offered/s of capacity', 'in progress+waiting', 'bodies, MB', 'closed connections', 'routes'];
	return rows.length === 0 ? undefined : formatTable(head, rows) + (rows.length < nodes.length ? `\n${nodes.length - rows.length} more nodes; see --nodes` : '');
}

function formatSection(title: string, table: string | undefined): readonly string[] {
	return table === undefined ? [] : ['', `${title}:`, table];
}

function formatName({vm, address}: NodeReport): string {
	return vm === undefined ? address : `${vm} (${address})`;
}

function formatBodies({bodyBytes, bodyLimitBytes}: NodeReport): string {
	return `${formatMegabytes(bodyBytes)} of ${formatMegabytes(bodyLimitBytes)}`;
}

function measureBodyShare({bodyBytes, bodyLimitBytes}: NodeReport): number {
	return (bodyBytes ?? 0) / Math.max(1, bodyLimitBytes ?? 1);
}

function formatMegabytes(bytes: number | undefined): string {
	return formatValue(bytes === undefined ? undefined : bytes / bytesPerMegabyte);
}

function formatShare(share: number | undefined): string {
	return share === undefined ? '-' : `${Math.round(share * percent)} %`;
}

/** Formats a number with at most one digit after the point, small ones with two. */
function formatValue(value: number | undefined): string {
	if (value === undefined) {
		return '-';
	}

	const digits = Math.abs(value) >= minWhole ? 0 : (Math.abs(value) >= 1 ? 1 : 2);
	return String(Number(value.toFixed(digits)));
}
