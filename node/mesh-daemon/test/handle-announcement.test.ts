import assert from 'node:assert/strict';
import test from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {createDeregisterCall} from '@buckthornpoint/fleet-stand-in/stand-in-announcements.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {handleAnnouncement, type AnnouncementOpts, type AnnouncementWatch} from '../src/handle-announcement.js';

const call = createDeregisterCall('i-1', 7);

function createOpts(opts: Partial<AnnouncementOpts> & {readonly left?: string[]}): AnnouncementOpts {
	const watch: AnnouncementWatch = {
		handleHeartbeat: () => ({result: {kind: 'refused', reason: 'not used in this test'}, grant: undefined}),
		handleLeave(id, bornMs) {
			opts.left?.push(id);
			return {id, bornMs, leftAtMs: 0};
		},
		member: {recordOmitted: () => undefined},
	};
	return {
		watch, log: new SilentLog(), clock: new ManualClock(), recordLeave: async () => true, isEnding: () => false, ...opts,
	};
}

test('a leave call is refused, not acknowledged and lost, if the process ends before it can notify the controller', async () => {
	const left: string[] = [];
	const late = await handleAnnouncement(call, createOpts({left, isEnding: () => true}));
	assert.deepEqual([late.status, left], [503, []]);
	const early = await handleAnnouncement(call, createOpts({left}));
	assert.deepEqual([early.status, left], [200, ['i-1']]);
});

test('a leave call that no later process of the node would find is not acknowledged', async () => {
	const answer = await handleAnnouncement(call, createOpts({recordLeave: async () => false}));
	assert.equal(answer.status, 503);
});
