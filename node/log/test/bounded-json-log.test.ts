import assert from 'node:assert/strict';
import test from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {BoundedJsonLog} from '../src/bounded-json-log.js';

type Line = {readonly event: string; readonly omitted?: Readonly<Record<string, number>>; readonly vmId: string};

function openLog(): {readonly log: BoundedJsonLog; readonly clock: ManualClock; readonly lines: Line[]} {
	const clock = new ManualClock();
	const lines: Line[] = [];
	const log = new BoundedJsonLog({
		clock, minLevel: 'info', vmId: 'vm-1', writeLine(line) {
			lines.push(JSON.parse(line) as Line); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		},
	});
	return {log, clock, lines};
}

test('each line is a JSON document that names the VM and the event', () => {
	const {log, lines} = openLog();
	log.write({event: 'node-stopping', vmId: 'vm-1'});
	assert.deepEqual(lines.map(({event, vmId}) => [event, vmId]), [['node-stopping', 'vm-1']]);
});

test('lines of one kind beyond its limit are omitted and counted, and other kinds are still written', () => {
	const {log, clock, lines} = openLog();
	for (let index = 0; index < 1000; index++) {
		log.write({event: 'announcement-ignored', id: 'i', reason: 'late'});
	}

	log.write({event: 'node-stopping', vmId: 'vm-1'});
	clock.advance(1000);
	log.write({event: 'node-stopped', vmId: 'vm-1'});
	assert.equal(lines.filter(({event}) => event === 'announcement-ignored').length, 20);
	assert.deepEqual(lines.filter(({event}) => event !== 'announcement-ignored').map(({event}) => event), ['node-stopping', 'log-omitted', 'node-stopped']);
	assert.deepEqual(lines.find(({event}) => event === 'log-omitted')?.omitted, {'announcement-ignored': 980});
});

test('omitted lines are also reported when the log is closed', async () => {
	const {log, lines} = openLog();
	for (let index = 0; index < 30; index++) {
		log.write({event: 'announcement-ignored', id: 'i', reason: 'late'});
	}

	await log.close();
	assert.deepEqual(lines.at(-1)?.omitted, {'announcement-ignored': 10});
});
