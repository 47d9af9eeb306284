import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSchedule} from './schedule.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		count: {type: 'string', default: '1000'},
		trace: {type: 'boolean', default: false},
	},
});

const first = Number(values.seed);
const count = Number(values.count);
let blocked = 0;
let broken = 0;
for (let seed = first; seed < first + count; seed++) {
	const result = runSchedule(seed);
	blocked += result.isBlocked ? 1 : 0;
	broken += result.violation === undefined ? 0 : 1;
	if (result.violation !== undefined) {
		console.log(`seed ${seed}: ${result.violation}`);
	}

	if (values.trace) {
		console.log(result.trace.join('\n'));
	}
}

console.log(`${count} schedules from seed ${first}: ${broken} broke an invariant, ${blocked} lost more members than a takeover needs`);
process.exitCode = broken === 0 ? 0 : 1;
