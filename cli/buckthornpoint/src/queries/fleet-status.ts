import {err, type Result} from 'neverthrow';
import type {Arguments} from 'yargs';
import type {Command, CommandContext} from '../command.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {createFleetReport} from '../fleet/create-fleet-report.js';
import {deriveRates} from '../fleet/derive-rates.js';
import type {FleetReport} from '../fleet/fleet-report.js';
import {readNodes, type NodeProblem, type NodeReading} from '../fleet/read-nodes.js';
import {formatFleetReport} from '../render/fleet-report.js';

/** A node answers within milliseconds; one that is overloaded may take longer, and is the one of interest. */
const defaultTimeoutSeconds = 3;
const defaultNodes = 10;
const millisecondsPerSecond = 1000;

/** `fleet-status ADDRESS...`: reads the metrics of nodes of the fleet and prints them by service. It needs no operator key. */
export const fleetStatusCommand: Command = {
	usage: 'fleet-status <address..>',
	summary: 'Show load, refusals and memory of nodes of the fleet, by service, from their metrics',
	options: {
		address: {type: 'string', describe: 'Host and port of the metrics interface of a node'},
		interval: {type: 'number', describe: 'Read twice, this many seconds apart, and show rates per second instead of totals'},
		timeout: {type: 'number', default: defaultTimeoutSeconds, describe: 'Time for the response of a node, in seconds'},
		nodes: {type: 'number', default: defaultNodes, describe: 'Number of nodes to list, the least free capacity first; --json lists all'},
		json: {type: 'boolean', default: false, describe: 'Print one JSON document for programs'},
	},
	examples: [
		['$0 fleet-status 10.1.0.10:9102 10.1.0.11:9102', 'Print counts since the start of each node'],
		['$0 fleet-status 10.1.0.10:9102 --interval 10', 'Print rates over 10 seconds'],
	],
	async run(values, context) {
		const addresses = [...new Set((values.address as readonly unknown[]).map(String))]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		const problem = checkArguments(addresses, values);
		if (problem !== undefined) {
			context.report(`ERR_USAGE: ${problem}`);
			return exitCodes.usage;
		}

		const report = await createReport(addresses, values, context);
		context.print(values.json === true ? JSON.stringify(report) : formatFleetReport(report, Number(values.nodes)));
		return chooseExitCode(report);
	},
};

function checkArguments(addresses: readonly string[], values: Arguments): string | undefined {
	const invalid = addresses.find(address => !/^(?:[^\s\/@:?#]+|\[[\da-f:.]+\]):\d{1,5}$/iv.test(address) || !URL.canParse(`http://${address}/`));
	if (invalid !== undefined) {
		return `the address ${invalid} is not of the form host:port`;
	}

	if (values.interval !== undefined && !(Number(values.interval) > 0)) {
		return '--interval is a number of seconds above 0';
	}

	if (!(Number(values.timeout) > 0)) {
		return '--timeout is a number of seconds above 0';
	}

	return Number.isInteger(values.nodes) && Number(values.nodes) >= 0 ? undefined : '--nodes is a whole number';
}

async function createReport(addresses: readonly string[], values: Arguments, context: CommandContext): Promise<FleetReport> {
	const read = async (): Promise<ReadonlyArray<Result<NodeReading, NodeProblem>>> =>
		readNodes(addresses, {timeoutMs: Number(values.timeout) * millisecondsPerSecond, context});
	const first = await read();
	if (values.interval === undefined) {
		return createFleetReport(...splitResults(first), 'total');
	}

	await context.clock.sleep(Number(values.interval) * millisecondsPerSecond, context.signal);
	const second = await read();
	const rates = first.map((earlier, index) => {
		const later = second[index] ?? err({address: addresses[index]!, reason: 'not read'});
		return earlier.andThen(before => later.map(after => deriveRates(before, after)));
	});
	return createFleetReport(...splitResults(rates), 'per-second');
}

function splitResults(results: ReadonlyArray<Result<NodeReading, NodeProblem>>): [readings: readonly NodeReading[], problems: readonly NodeProblem[]] {
	return [
		results.flatMap(result => result.isOk() ? [result.value] : []),
		results.flatMap(result => result.isErr() ? [result.error] : []),
	];
}

function chooseExitCode({nodes, isPartial}: FleetReport): ExitCode {
	if (!isPartial) {
		return exitCodes.done;
	}

	return nodes.length === 0 ? exitCodes.unavailable : exitCodes.partial;
}
