import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {BackendServerWatch} from '../src/backend-server-watch.js';

const announcement: BackendServer = {
	name: 'sklad-1', service: 'sklad', origin: 'http://127.0.0.1:1', slots: 18, checksFence: false, incarnation: '1', leaving: false,
};

function createWatch(clock: ManualClock): {readonly watch: BackendServerWatch; readonly silences: () => number} {
	let silences = 0;
	const watch = new BackendServerWatch(clock, {
		recordAnnouncement() {
			// The tests count only the calls of recordSilence.
		},
		recordSilence() {
			silences++;
		},
	});
	return {watch, silences: () => silences};
}

test('a backend server that repeats its announcement is not silent', () => {
	const clock = new ManualClock();
	const {watch, silences} = createWatch(clock);
	for (let round = 0; round < 10; round++) {
		watch.record(announcement);
		clock.advance(1000);
	}

	assert.equal(silences(), 0);
});

test('a backend server that stops announcing itself is reported once, and again after it has resumed and stopped', () => {
	const clock = new ManualClock();
	const {watch, silences} = createWatch(clock);
	watch.record(announcement);
	clock.advance(20_000);
	assert.equal(silences(), 1);
	watch.record(announcement);
	clock.advance(20_000);
	assert.equal(silences(), 2);
});
