import type {Arguments} from 'yargs';
import type {Command, CommandContext} from '../command.js';
import {exitCodes} from '../exit-codes.js';
import {requestStatus} from '../operator-client.js';
import {connectionOptions, readOperatorSettings, type OperatorSettings} from '../operator-settings.js';
import {formatState} from '../render/status.js';
import {reportFailure} from '../report-failure.js';
import type {StatusAnswer} from '../status-answer.js';

const defaultIntervalMs = 1000;

/** `watch`: prints each change of the cell until it is interrupted. */
export const watchCommand: Command = {
	usage: 'watch',
	summary: 'Print each change of the cell until interrupted',
	options: {
		...connectionOptions,
		'interval-ms': {type: 'number', default: defaultIntervalMs, describe: 'Time between two status queries, in milliseconds'},
		count: {type: 'number', default: 0, describe: 'Number of status queries; 0 for no limit'},
	},
	examples: [['$0 watch', 'Follow a failure domain while it leaves']],
	async run(values, context) {
		const settings = await readOperatorSettings(values, context);
		if (settings.isErr()) {
			return reportFailure(settings.error, context, values.json === true);
		}

		await watchCell(settings.value, values, context);
		return exitCodes.done;
	},
};

async function watchCell(settings: OperatorSettings, values: Arguments, context: CommandContext): Promise<void> {
	const count = Number(values.count);
	const maxPolls = count === 0 ? Number.POSITIVE_INFINITY : count;
	let previous: Snapshot = new Map();
	for (let poll = 1; poll <= maxPolls && !context.signal.aborted; poll++) {
		const current = await requestSnapshot(settings, previous);
		printDifferences(previous, current, {context, isJson: values.json === true});
		previous = current;
		await context.clock.sleep(Number(values['interval-ms']), context.signal);
	}
}

/** The watched values of the cell, by the name under which they are printed. */
type Snapshot = ReadonlyMap<string, string>;

async function requestSnapshot(settings: OperatorSettings, previous: Snapshot): Promise<Snapshot> {
	const answer = await requestStatus(settings);
	return answer.match(value => buildSnapshot(value), ({message}) => new Map([...previous, ['nodes', message]]));
}

function buildSnapshot({status, configuration}: StatusAnswer): Snapshot {
	return new Map([
		['nodes', 'reachable'],
		['version', String(status.configurationVersion)],
		['controller', status.controller === undefined ? 'none' : `${status.controller.vmId}, epoch ${status.epoch}`],
		['store', status.storeReachable === false ? 'not reachable' : 'reachable'],
		...configuration.failureDomains.map(({name, out}) => [`failure domain ${name}`, out ? 'out' : 'in service'] as const),
		...status.members.map(member => [`VM ${member.vmId}`, `${formatState(member, configuration)}, ${member.partitionCount} partitions`] as const),
	]);
}

type PrintOpts = {
	readonly context: CommandContext;
	readonly isJson: boolean;
};

function printDifferences(before: Snapshot, after: Snapshot, {context, isJson}: PrintOpts): void {
	const time = new Date(context.clock.readTimestamp().wallMs).toISOString();
	for (const name of new Set([...before.keys(), ...after.keys()])) {
		const value = after.get(name) ?? 'gone';
		if (before.get(name) !== value) {
			context.print(isJson ? JSON.stringify({time, name, value}) : `${time}  ${name}: ${value}`);
		}
	}
}
