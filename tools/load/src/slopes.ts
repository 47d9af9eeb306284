import process from 'node:process';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import Table from 'cli-table3';
import {estimateLine} from './line.js';
import {measureIdleCell} from './slopes-idle.js';
import {
	measureMap, measureMessages, measureOutcomes, type Sample,
} from './slopes-samples.js';

const partitionCounts = [1024, 4096, 16_384] as const;
const memberCounts = [10, 20, 40] as const;
const outcomeCounts = [20_000, 40_000, 80_000] as const;
const cellSizes = [3, 6, 12] as const;
const largestMemberCount = 40;
const mapPartitionCount = 4096;

/** Measures every growth rate on which docs/CAPACITY.md is based and prints the samples with their fitted lines. */
export async function runSlopes(clock: Clock): Promise<void> {
	// Warms up the JIT compiler, so that it does not affect the CPU times of the samples.
	measureMap(mapPartitionCount, largestMemberCount);
	measureOutcomes(outcomeCounts[0], clock);
	printSeries('routing table by partitions, 40 members', partitionCounts.map(size => ({size, values: measureMap(size, largestMemberCount)})));
	printSeries('routing table by members, 4096 partitions', memberCounts.map(size => ({size, values: measureMap(mapPartitionCount, size)})));
	printSeries('outcome record by requests', outcomeCounts.map(size => ({size, values: measureOutcomes(size, clock)})));
	printSeries('control messages by members', memberCounts.map(size => ({size, values: measureMessages(size)})));
	const cells: Sample[] = [];
	for (const size of cellSizes) {
		cells.push({size, values: await measureIdleCell(size, clock)});
	}

	printSeries('idle cell by nodes', cells);
}

function printSeries(name: string, samples: readonly Sample[]): void {
	const table = new Table({head: [name, ...samples.map(({size}) => String(size)), 'at 0', 'per unit'], style: {head: [], border: []}});
	for (const measure of Object.keys(samples[0]?.values ?? {})) {
		const points = samples.map(({size, values}) => ({size, value: values[measure] ?? Number.NaN}));
		const {intercept, slope} = estimateLine(points);
		table.push([measure, ...[...points.map(({value}) => value), intercept, slope].map(value => formatNumber(value))]);
	}

	process.stdout.write(`${table.toString()}\n`);
}

function formatNumber(value: number): string {
	return Math.abs(value) >= 1000 ? value.toFixed(0) : value.toPrecision(4);
}
