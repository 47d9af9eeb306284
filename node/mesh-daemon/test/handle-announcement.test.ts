import assert from 'node:assert/strict';
import test from 'node:test';
import {createDeregisterCall} from '@buckthornpoint/fleet-stand-in/stand-in-announcements.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {handleAnnouncement, type AnnouncementWatch} from '../src/handle-announcement.js';

test('a leave call is refused, not acknowledged and lost, if the process ends before it can notify the controller', () => {
	const left: string[] = [];
	const watch: AnnouncementWatch = {
		handleHeartbeat: () => ({result: {kind: 'refused', reason: 'not used in this test'}, grant: undefined}),
		handleLeave(id) {
			left.push(id);
		},
		member: {recordOmitted: () => undefined},
	};
	const call = createDeregisterCall('i-1', 7);
	const late = handleAnnouncement(call, {watch, log: new SilentLog(), isEnding: () => true});
	assert.deepEqual([late.status, left], [503, []]);
	const early = handleAnnouncement(call, {watch, log: new SilentLog(), isEnding: () => false});
	assert.deepEqual([early.status, left], [200, ['i-1']]);
});
