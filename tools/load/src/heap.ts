import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

/** Returns how many bytes of heap and external memory the value that `build` creates retains. */
export function measureRetainedBytes(build: () => unknown): number {
	const before = readBytes();
	const retained = [build()];
	const after = readBytes();
	retained.length = 0;
	return after - before;
}

function readBytes(): number {
	collectGarbage();
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}
