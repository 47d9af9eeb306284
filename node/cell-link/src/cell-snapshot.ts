import type {
	RowName, RowTransaction, Snapshot, StoredRow, StoreEra,
} from '@buckthornpoint/fleet/fleet-store.js';
import type {RangeMap} from '@buckthornpoint/key-ranges/range-map.js';
import {decodeRangeMap, encodeRangeMap} from '@buckthornpoint/key-ranges/range-map-record.js';
import {
	cellTable, controllerKey, decodeControllerRecord, getEraKey, getMapKey, isEraKey, isMapKey, parseMapKey, type ControllerRecord,
} from './controller-record.js';
import {decodeLeaveRecords, type LeaveRecord} from './leave-record.js';

/** Number of obsolete rows that one write removes; the store accepts at most 100 entries in a transaction. */
export const maxRemovalsPerWrite = 50;

/** The decoded rows of a cell. */
export type CellSnapshot = {
	readonly era: StoreEra;
	readonly nowMs: number;
	readonly row: StoredRow | undefined;
	/** Undefined if there is no controller row, or if it is invalid. */
	readonly record: ControllerRecord | undefined;
	/** Row versions of the range maps, by key. */
	readonly mapVersions: ReadonlyMap<string, number>;
	readonly mapRows: readonly StoredRow[];
	/** Version of the row that marks the present era, 0 if nothing was written in this era. */
	readonly eraRowVersion: number;
	readonly leaves: readonly LeaveRecord[];
	/** Rows that mark earlier eras, and leave records that are no longer needed. */
	readonly obsoleteRows: readonly RowName[];
};

/** Versions of the rows on which a write of the controller depends. */
export type CellVersions = Pick<CellSnapshot, 'era' | 'mapVersions' | 'eraRowVersion'> & {readonly rowVersion: number; readonly obsoleteRows: readonly RowName[]};

/** Decodes the rows of a cell. `wallMs` is the time of the wall clock. */
export function decodeCell({rows, era, nowMs}: Snapshot, wallMs: number): CellSnapshot {
	const row = rows.find(({key}) => key === controllerKey);
	const mapRows = rows.filter(({key, value}) => isMapKey(key) && value !== undefined);
	const eraRows = rows.filter(({key, value}) => isEraKey(key) && value !== undefined);
	const {records: leaves, obsolete: obsoleteLeaves} = decodeLeaveRecords(rows, wallMs);
	return {
		era,
		nowMs,
		row,
		record: row?.value === undefined ? undefined : decodeControllerRecord(row.value).unwrapOr(undefined),
		mapRows,
		mapVersions: new Map(mapRows.map(({key, version}) => [key, version])),
		eraRowVersion: eraRows.find(({key}) => key === getEraKey(era))?.version ?? 0,
		leaves,
		obsoleteRows: [...eraRows.filter(({key}) => key !== getEraKey(era)), ...obsoleteLeaves],
	};
}

/** Creates the transaction that writes the controller's row and range maps, provided that nobody else wrote them and the era is the same. */
export function createCellTransaction(record: ControllerRecord, maps: readonly RangeMap[], versions: CellVersions): RowTransaction {
	const {era, eraRowVersion, mapVersions, rowVersion, obsoleteRows} = versions;
	const eraRow = {table: cellTable, key: getEraKey(era)};
	const mustMarkEra = era > 0 && eraRowVersion === 0;
	return {
		conditions: [
			{table: cellTable, key: controllerKey, version: rowVersion},
			...era > 0 ? [{...eraRow, version: eraRowVersion}] : [],
			...maps.map(({service}) => ({table: cellTable, key: getMapKey(service), version: mapVersions.get(getMapKey(service)) ?? 0})),
		],
		writes: [
			{table: cellTable, key: controllerKey, value: JSON.stringify(record)},
			...mustMarkEra ? [{...eraRow, value: '{}'}] : [],
			...maps.map(map => ({table: cellTable, key: getMapKey(map.service), value: JSON.stringify(encodeRangeMap(map))})),
		],
		removals: obsoleteRows.slice(0, maxRemovalsPerWrite).map(({key}) => ({table: cellTable, key})),
	};
}

/** The range maps among the rows of a cell. */
export type DecodedMaps = {
	readonly maps: readonly RangeMap[];
	/** One problem for each row that is invalid. */
	readonly problems: readonly string[];
	/** Services whose map can't be read: they have owners that are not known. */
	readonly unreadableServices: ReadonlySet<string>;
};

/** Decodes the rows of range maps. */
export function decodeMaps(rows: readonly StoredRow[]): DecodedMaps {
	const decoded = rows.map(({key, value}) => ({key, result: decodeRangeMap(value ?? '')}));
	const invalid = decoded.flatMap(({key, result}) => result.isErr() ? [{key, problem: result.error}] : []);
	return {
		maps: decoded.flatMap(({result}) => result.isOk() ? [result.value] : []),
		problems: invalid.map(({key, problem}) => `${key}: ${problem}; its service gets no new owners until the row can be read`),
		unreadableServices: new Set(invalid.map(({key}) => parseMapKey(key))),
	};
}

/** Selects the versions that the next write depends on. */
export function getVersions({era, row, mapVersions, eraRowVersion, obsoleteRows}: CellSnapshot): CellVersions {
	return {
		era, rowVersion: row?.version ?? 0, mapVersions, eraRowVersion, obsoleteRows,
	};
}
