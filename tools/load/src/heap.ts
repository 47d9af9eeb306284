import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

/** Returns how many bytes of heap and of buffers the value keeps that `build` makes. */
export function measureKeptBytes(build: () => unknown): number {
	const before = readBytes();
	const kept = [build()];
	const after = readBytes();
	kept.length = 0;
	return after - before;
}

function readBytes(): number {
	collectGarbage();
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}
