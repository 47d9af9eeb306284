import {createHash} from 'node:crypto';
import {toResult} from '@buckthornpoint/documents/either.js';
import {parseJson} from '@buckthornpoint/documents/parse-json.js';
import type {StoredRow} from '@buckthornpoint/fleet/fleet-store.js';
import {formatBackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {Codec, number, string} from 'purify-ts';
import {cellTable} from './controller-record.js';

/** An acknowledged announcement of a backend server that it leaves. It binds all later node processes of the VM. */
export type LeaveRecord = {
	readonly vmId: string;
	/** Id of the server. */
	readonly id: string;
	/** Start time of the server instance in Unix milliseconds; 0 if the announcement did not state it. */
	readonly bornMs: number;
	/** When the announcement arrived, on the wall clock of its node. */
	readonly leftAtMs: number;
};

const leavePrefix = 'leaving/';

/** How long records are kept: much longer than a leaving server goes on serving. */
const retentionMs = 3_600_000;

const hashLength = 16;

const recordCodec = Codec.interface({
	vmId: string, id: string, bornMs: number, leftAtMs: number,
});

/** Returns whether a row stores a leave record. */
export function isLeaveKey(key: string): boolean {
	return key.startsWith(leavePrefix);
}

/** Creates the row of a leave record. Each server instance has its own row, so that a write that takes effect late replaces no other record. */
export function encodeLeaveRecord(record: LeaveRecord): {readonly table: string; readonly key: string; readonly value: string} {
	const instance = `${record.vmId}/${formatBackendInstanceKey(record.id, record.bornMs)}`;
	const hash = createHash('sha256').update(instance).digest('hex').slice(0, hashLength);
	return {table: cellTable, key: `${leavePrefix}${hash}`, value: JSON.stringify(record)};
}

/** Decodes the leave records among the rows of a cell. `obsolete` are rows that are too old to matter or can't be decoded. */
export function decodeLeaveRecords(rows: readonly StoredRow[], wallMs: number): {readonly records: readonly LeaveRecord[]; readonly obsolete: readonly StoredRow[]} {
	const decoded = rows.filter(({key, value}) => isLeaveKey(key) && value !== undefined).map(row => ({
		row, record: parseJson(row.value ?? '').andThen(value => toResult(recordCodec.decode(value))).unwrapOr(undefined),
	}));
	const isCurrent = (record: LeaveRecord | undefined): record is LeaveRecord => record !== undefined && wallMs - record.leftAtMs < retentionMs;
	return {
		records: decoded.flatMap(({record}) => isCurrent(record) ? [record] : []),
		obsolete: decoded.filter(({record}) => !isCurrent(record)).map(({row}) => row),
	};
}
