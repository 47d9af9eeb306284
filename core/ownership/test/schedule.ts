import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {countTakeoverQuorum} from '../src/bounds.js';
import {createConfiguration, findUnservedBeyondMove, startCell} from './cells.js';
import {
	noNetworkFaults, noStoreFaults, type NetworkFaults, type StoreFaults,
} from './faults.js';
import {SimulatedCell} from './simulated-cell.js';

const startupMs = 3000;
const faultPhaseMs = 10_000;
const recoveryPhaseMs = 10_000;
const maxFaults = 8;
const minSize = 3;
const sizeCount = 5;

/** The result of running a schedule of faults. */
export type ScheduleResult = {
	readonly seed: number;
	readonly faults: readonly string[];
	/** The violated invariant; undefined when none was violated. */
	readonly violation: string | undefined;
	/** Whether fewer members survived than a takeover needs, so that it waits until an operator declares VMs dead. */
	readonly isBlocked: boolean;
	readonly trace: readonly string[];
};

type Fault = {
	readonly name: string;
	readonly apply: (cell: SimulatedCell, parameters: FaultParameters) => void;
};

type FaultParameters = {
	readonly vmId: string;
	readonly otherVmId: string;
	readonly domain: string;
	readonly durationMs: number;
	readonly isVariant: boolean;
};

const faults: readonly Fault[] = [
	{
		name: 'node restarted',
		apply(cell, {vmId, durationMs}) {
			cell.stopNode(vmId);
			cell.addEvent(durationMs, () => {
				cell.startNode(vmId, findDomain(vmId));
			});
		},
	},
	{
		name: 'node restarted at once',
		apply(cell, {vmId}) {
			cell.startNode(vmId, findDomain(vmId));
		},
	},
	{
		name: 'node paused',
		apply(cell, {vmId, durationMs, isVariant}) {
			cell.sleepNode(vmId, durationMs, isVariant);
		},
	},
	{
		name: 'node paused, replaced and resumed',
		apply(cell, {vmId, durationMs, isVariant}) {
			cell.sleepNode(vmId, durationMs + 3000, isVariant);
			cell.addEvent(durationMs / 2, () => {
				cell.replaceNode(vmId, findDomain(vmId));
			});
		},
	},
	{
		name: 'messages blocked one way',
		apply(cell, {vmId, otherVmId, durationMs}) {
			addTemporaryBlock(cell, [[vmId, otherVmId]], durationMs);
		},
	},
	{
		name: 'messages blocked both ways',
		apply(cell, {vmId, otherVmId, durationMs}) {
			addTemporaryBlock(cell, [[vmId, otherVmId], [otherVmId, vmId]], durationMs);
		},
	},
	{
		name: 'node cut off',
		apply(cell, {vmId, durationMs, isVariant}) {
			const others = [...cell.nodes.keys(), 'store'];
			const pairs = others.flatMap(other => isVariant ? [[vmId, other], [other, vmId]] : [[vmId, other]]);
			addTemporaryBlock(cell, pairs, durationMs);
		},
	},
	{
		name: 'node cut off from the store',
		apply(cell, {vmId, durationMs}) {
			addTemporaryBlock(cell, [[vmId, 'store']], durationMs);
		},
	},
	{
		name: 'cell split, and the part of the controller restarts without it',
		apply(cell, {vmId, durationMs}) {
			const controller = cell.store.lease.value?.controller.vmId ?? vmId;
			const others = [...cell.nodes.keys()].filter(other => other !== controller);
			const near = others.slice(0, Math.ceil(others.length / 2));
			const far = others.slice(near.length);
			const nearPairs = near.flatMap(left => far.flatMap(right => [[left, right], [right, left]]));
			const controllerPairs = far.flatMap(other => [[controller, other], [other, controller]]);
			const restartMs = 2000 + (durationMs / 2);
			addTemporaryBlock(cell, [...nearPairs, ...near.map(other => [other, 'store'])], restartMs);
			addTemporaryBlock(cell, [...controllerPairs, [controller, 'store']], restartMs + 2000);
			for (const other of near) {
				cell.addEvent(restartMs, () => {
					cell.startNode(other, findDomain(other));
				});
			}
		},
	},
	{
		name: 'store down',
		apply(cell, {durationMs}) {
			setStoreFaults(cell, {isDown: true}, durationMs);
		},
	},
	{
		name: 'store slow',
		apply(cell, {durationMs}) {
			setStoreFaults(cell, {maxDelayMs: 900}, durationMs);
		},
	},
	{
		name: 'store answers lost and writes repeated',
		apply(cell, {durationMs}) {
			setStoreFaults(cell, {lostAnswers: 0.5, duplicates: 0.3, maxDelayMs: 200}, durationMs);
		},
	},
	{
		name: 'messages lost and repeated',
		apply(cell, {durationMs}) {
			setNetworkFaults(cell, {lost: 0.3, duplicates: 0.3, maxDelayMs: 50}, durationMs);
		},
	},
	{
		name: 'messages delayed',
		apply(cell, {durationMs}) {
			setNetworkFaults(cell, {lost: 0, duplicates: 0.1, maxDelayMs: 3000}, durationMs);
		},
	},
	{
		name: 'failure domain lost',
		apply(cell, {domain, durationMs}) {
			for (const vmId of [...cell.nodes.keys()].filter(other => findDomain(other) === domain)) {
				cell.stopNode(vmId);
				cell.addEvent(durationMs, () => {
					cell.startNode(vmId, domain);
				});
			}
		},
	},
	{
		name: 'failure domain taken out and back',
		apply(cell, {vmId, otherVmId, domain, durationMs}) {
			applyChange(cell, vmId, {failureDomains: cell.configuration.failureDomains.map(other => ({...other, out: other.name === domain}))});
			cell.addEvent(durationMs, () => {
				applyChange(cell, otherVmId, {failureDomains: cell.configuration.failureDomains.map(other => ({...other, out: false}))});
			});
		},
	},
	{
		name: 'two operators',
		apply(cell, {vmId, otherVmId}) {
			applyChange(cell, vmId, {stoppingVms: [otherVmId]});
			applyChange(cell, otherVmId, {stoppingVms: []});
		},
	},
	{
		name: 'backend server restarted',
		apply(cell, {vmId}) {
			const node = cell.nodes.get(vmId);
			if (node !== undefined) {
				cell.stepNode(node, {kind: 'backend-server-silent'});
				cell.announce(node);
			}
		},
	},
	{
		name: 'planned stop',
		apply(cell, {vmId, durationMs}) {
			const node = cell.nodes.get(vmId);
			if (node !== undefined) {
				cell.stepNode(node, {kind: 'stop-requested'});
				cell.addEvent(durationMs + 2000, () => {
					cell.startNode(vmId, findDomain(vmId));
				});
			}
		},
	},
];

/**
 * Runs the schedule of faults that the seed determines; checks the invariants after each step and the recovery at the
 * end.
 */
export function runSchedule(seed: number): ScheduleResult {
	const random = new SeededRandom(seed);
	const cell = new SimulatedCell(seed, createConfiguration());
	const size = minSize + random.generateIntegerBelow(sizeCount);
	const faultNames: string[] = [];
	const buildResult = (violation: string | undefined, isBlocked = false): ScheduleResult => ({
		seed, faults: faultNames, violation, isBlocked, trace: cell.trace,
	});
	try {
		startCell(cell, size);
		cell.advance(startupMs);
		addFaults(cell, random, faultNames);
		cell.advance(faultPhaseMs);
		cell.removeFaults();
		return checkRecovered(cell, buildResult);
	} catch (error) {
		return buildResult(error instanceof Error ? error.message : String(error));
	}
}

function addFaults(cell: SimulatedCell, random: SeededRandom, faultNames: string[]): void {
	const vmIds = [...cell.nodes.keys()];
	const count = 1 + random.generateIntegerBelow(maxFaults);
	for (let index = 0; index < count; index++) {
		const fault = faults[random.generateIntegerBelow(faults.length)]!;
		const isOnController = random.generateFraction() < 0.3;
		const parameters = {
			vmId: vmIds[random.generateIntegerBelow(vmIds.length)]!,
			otherVmId: vmIds[random.generateIntegerBelow(vmIds.length)]!,
			domain: `fd${random.generateIntegerBelow(3)}`,
			durationMs: 100 + random.generateIntegerBelow(random.generateFraction() < 0.5 ? 2000 : 6000),
			isVariant: random.generateFraction() < 0.5,
		};
		cell.addEvent(random.generateIntegerBelow(faultPhaseMs - 2000), () => {
			const vmId = isOnController ? cell.store.lease.value?.controller.vmId ?? parameters.vmId : parameters.vmId;
			const description = `${fault.name}: ${vmId} ${parameters.otherVmId} ${parameters.domain} ${parameters.durationMs} ms ${parameters.isVariant}`;
			faultNames.push(description);
			cell.addTraceLine(undefined, description);
			fault.apply(cell, {...parameters, vmId});
		});
	}
}

function checkRecovered(cell: SimulatedCell, buildResult: (violation: string | undefined, isBlocked?: boolean) => ScheduleResult): ScheduleResult {
	for (let waitedMs = 0; waitedMs < recoveryPhaseMs; waitedMs += 100) {
		cell.advance(100);
	}

	const unserved = findUnservedBeyondMove(cell);
	if (unserved.length === 0) {
		return buildResult(undefined);
	}

	const members = cell.store.cell.value?.members ?? [];
	const surviving = members.filter(member => cell.nodes.get(member.vmId)?.identity.incarnation === member.incarnation);
	return surviving.length < countTakeoverQuorum(members.length) ? buildResult(undefined, true) : buildResult(`${unserved.length} partitions are not served after the faults ended`);
}

function findDomain(vmId: string): string {
	return `fd${Number(vmId.slice(2)) % 3}`;
}

function addTemporaryBlock(cell: SimulatedCell, pairs: ReadonlyArray<readonly string[]>, durationMs: number): void {
	for (const [from, to] of pairs) {
		cell.addBlock(from!, to!);
		cell.addEvent(durationMs, () => {
			cell.blockedPaths.delete(`${from}>${to}`);
		});
	}
}

function setStoreFaults(cell: SimulatedCell, change: Partial<StoreFaults>, durationMs: number): void {
	cell.storeFaults = {...cell.storeFaults, ...change};
	cell.addEvent(durationMs, () => {
		cell.storeFaults = noStoreFaults;
	});
}

function setNetworkFaults(cell: SimulatedCell, change: NetworkFaults, durationMs: number): void {
	cell.networkFaults = change;
	cell.addEvent(durationMs, () => {
		cell.networkFaults = noNetworkFaults;
	});
}

/** Applies an accepted configuration change and sends it to one node. */
function applyChange(cell: SimulatedCell, vmId: string, change: Partial<Configuration>): void {
	cell.configuration = {...cell.configuration, ...change, version: cell.configuration.version + 1};
	const node = cell.nodes.get(vmId);
	if (node !== undefined) {
		cell.stepNode(node, {kind: 'configuration-learned', configuration: cell.configuration});
	}
}
