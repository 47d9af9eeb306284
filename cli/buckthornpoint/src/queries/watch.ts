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
		'interval-ms': {type: 'number', default: defaultIntervalMs, describe: 'Time between two looks, in milliseconds'},
		count: {type: 'number', default: 0, describe: 'How many looks; 0 for no end'},
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
	const lastLook = count === 0 ? Number.POSITIVE_INFINITY : count;
	let known: Facts = new Map();
	for (let look = 1; look <= lastLook && !context.signal.aborted; look++) {
		const facts = await requestFacts(settings, known);
		printDifferences(known, facts, {context, isJson: values.json === true});
		known = facts;
		await context.clock.sleep(Number(values['interval-ms']), context.signal);
	}
}

type Facts = ReadonlyMap<string, string>;

async function requestFacts(settings: OperatorSettings, known: Facts): Promise<Facts> {
	const answer = await requestStatus(settings);
	return answer.match(value => listFacts(value), ({message}) => new Map([...known, ['nodes', message]]));
}

function listFacts({status, configuration}: StatusAnswer): Facts {
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

function printDifferences(before: Facts, after: Facts, {context, isJson}: PrintOpts): void {
	const time = new Date(context.clock.readMoment().wallMs).toISOString();
	for (const name of new Set([...before.keys(), ...after.keys()])) {
		const value = after.get(name) ?? 'gone';
		if (before.get(name) !== value) {
			context.print(isJson ? JSON.stringify({time, name, value}) : `${time}  ${name}: ${value}`);
		}
	}
}
