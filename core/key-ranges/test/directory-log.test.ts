import assert from 'node:assert/strict';
import test from 'node:test';
import {DirectoryLog} from '../src/directory-log.js';
import type {DirectoryEntry} from '../src/messages.js';

function createEntry(vmId: string, isStopping = false): DirectoryEntry {
	return {
		vmId, address: `${vmId}:1`, failureDomain: 'a', isStopping,
	};
}

function createLog(vmIds: readonly string[]): DirectoryLog {
	const log = new DirectoryLog(1);
	for (const vmId of vmIds) {
		log.record(createEntry(vmId));
	}

	return log;
}

test('a node with a known version receives only the changes since it', () => {
	const vmIds = Array.from({length: 200}, (_, index) => `vm-${index}`);
	const log = createLog(vmIds);
	const known = log.version;
	log.record(createEntry('vm-7', true));
	log.record(createEntry('vm-8'));
	log.record(createEntry('vm-new'));
	log.remove('vm-9');
	const update = log.createReply(known, true);
	assert.deepEqual(update.directory?.map(({vmId}) => vmId), ['vm-7', 'vm-new']);
	assert.deepEqual(update.directoryRemoved, ['vm-9']);
	assert.equal(log.createReply(log.version, true).directory, undefined);
});

test('a node with an unknown version or a version of another controller receives the full directory', () => {
	const log = createLog(['a', 'b']);
	for (const known of ['', '2.1', '1.99', '1.x', '0.2']) {
		const update = log.createReply(known, true);
		assert.equal(update.directoryRemoved, undefined, known);
		assert.equal(update.directory?.length, 2, known);
	}
});

test('an entry that is added again after its removal is sent as a change, not as removed', () => {
	const log = createLog(['a', 'b']);
	const known = log.version;
	log.remove('a');
	log.record(createEntry('a'));
	const {directory, directoryRemoved} = log.createReply(known, true);
	assert.deepEqual([directory, directoryRemoved], [[createEntry('a')], []]);
});

test('a new controller starts from the directory of its node and sends only changes since then', () => {
	const before = createLog(['a', 'b', 'c', 'd']);
	const base = {version: before.version, entries: before.createReply('', true).directory ?? []};
	const log = new DirectoryLog(2, base);
	log.record(createEntry('a'));
	log.record(createEntry('b', true));
	log.record(createEntry('d'));
	const early = log.createReply(base.version, false);
	assert.deepEqual([early.directory, early.directoryRemoved], [[createEntry('b', true)], []]);
	const late = log.createReply(early.directoryVersion, true);
	assert.deepEqual([late.directory, late.directoryRemoved], [[], ['c']]);
	assert.deepEqual(log.createReply(base.version, true).directoryRemoved, ['c']);
});
