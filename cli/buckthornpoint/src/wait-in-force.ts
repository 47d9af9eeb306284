import {maxEligibleSilenceMs} from '@buckthornpoint/configuration/eligible-members.js';
import type {CommandContext} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {requestHeldPartitionCount, requestStatus} from './operator-client.js';
import type {OperatorSettings} from './operator-settings.js';
import type {StatusMember} from './status-answer.js';

const pollIntervalMs = 200;
const msPerSecond = 1000;

/** The state to wait for. */
export type WaitOpts = {
	readonly version: number;
	readonly timeoutSeconds: number;
	/** Members that must no longer hold partitions: those of a failure domain or VM that was taken out. */
	readonly isDraining: (member: StatusMember) => boolean;
};

/** Waits until every live member runs the version and no draining member holds partitions; reports progress whenever it changes. */
export async function waitUntilInForce(settings: OperatorSettings, context: CommandContext, opts: WaitOpts): Promise<ExitCode> {
	const startMs = context.clock.readTimestamp().monotonicMs;
	let lastLine = '';
	while (!context.signal.aborted) {
		const progress = await measureProgress(settings, opts);
		if (progress.line !== lastLine) {
			context.report(progress.line);
			lastLine = progress.line;
		}

		if (progress.isDone) {
			return exitCodes.done;
		}

		if (context.clock.readTimestamp().monotonicMs - startMs > opts.timeoutSeconds * msPerSecond) {
			break;
		}

		await context.clock.sleep(pollIntervalMs, context.signal);
	}

	context.report(`version ${opts.version} is accepted, but not in force everywhere yet; see "buckthornpoint status"`);
	return exitCodes.notInForce;
}

type Progress = {
	readonly line: string;
	readonly isDone: boolean;
};

async function measureProgress(settings: OperatorSettings, opts: WaitOpts): Promise<Progress> {
	const answer = await requestStatus(settings);
	if (answer.isErr()) {
		return {line: answer.error.message, isDone: false};
	}

	const {status} = answer.value;
	const live = status.members.filter(member => isLive(member));
	const current = live.filter(({configurationVersion}) => (configurationVersion ?? 0) >= opts.version);
	const heldCounts = await Promise.all(live.filter(member => opts.isDraining(member)).map(async member => requestHeld(settings, member)));
	const holding = heldCounts.filter(({count}) => count !== 0);
	const silentCount = status.members.length - live.length;
	return {
		line: [
			`version ${opts.version} in force on ${current.length} of ${live.length} VMs`,
			...holding.map(({vmId, count}) => count === undefined ? `${vmId} not reached` : `${vmId} still holds ${count} partitions`),
			...silentCount > 0 ? [`${silentCount} VMs silent`] : [],
		].join(', '),
		isDone: status.configurationVersion >= opts.version && live.length > 0 && current.length === live.length && holding.length === 0,
	};
}

type HeldPartitions = {
	readonly vmId: string;
	/** Undefined if the VM could not be reached. */
	readonly count: number | undefined;
};

async function requestHeld(settings: OperatorSettings, member: StatusMember): Promise<HeldPartitions> {
	const count = await requestHeldPartitionCount(settings, member.callerOrigin);
	return {vmId: member.vmId, count: count === undefined ? undefined : Math.max(count, member.partitionCount)};
}

function isLive(member: StatusMember): boolean {
	return member.silentForMs === undefined || member.silentForMs <= maxEligibleSilenceMs;
}
