import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {BoundedJsonLog} from '../src/bounded-json-log.js';

/** Started by stalled-reader.test.ts. Logs more than all buffers hold, sends a message when done, and ends when it receives one. */

const seconds = 100;
const linesPerSecond = 20;
const longReason = 'x'.repeat(2000);
const clock = new ManualClock();
const log = new BoundedJsonLog({clock, minLevel: 'info', vmId: 'vm-1'});

for (let second = 0; second < seconds; second++) {
	for (let line = 0; line < linesPerSecond; line++) {
		log.write({event: 'announcement-ignored', id: `${second}-${line}`, reason: longReason});
	}

	clock.advance(1000);
	log.writeBuffered();
	await setImmediate();
}

process.once('message', () => {
	void closeLog();
});
process.send?.('flooded');

async function closeLog(): Promise<void> {
	await log.close();
	process.disconnect();
}
