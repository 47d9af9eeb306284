import type {Fence, NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member} from '@buckthornpoint/types/membership.js';

/** Row `leases/<cell>` of the table service: the holder of the controller lease. Written by compare-and-set only. */
export type LeaseRecord = {
	/** Incremented by each takeover. */
	readonly epoch: number;
	readonly controller: NodeIdentity;
	readonly peerOrigin: string;
	/** Incremented by each renewal within the epoch. */
	readonly renewal: number;
	/** How long a renewal gives the controller authority, counted from when it was sent. */
	readonly authorityMs: number;
	/**
	 * Whether the controller has resigned. It grants nothing any more, and when it resigned each partition was held by the
	 * owner in the map of the cell row, which had received its grant, and by no other node.
	 */
	readonly resigned?: boolean;
};

/**
 * Row `cells/<cell>` of the table service: the members and the partition map. Written in one transaction with a check
 * of the lease row's version.
 */
export type CellRecord = {
	readonly members: readonly Member[];
	readonly map: CellMap;
	/** Epoch under which the record was last written. */
	readonly epoch: number;
};

/** A row as read, with the version that a compare-and-set checks. Version 0 means that the row does not exist. */
export type Versioned<T> = {
	readonly version: number;
	readonly writeId: string;
	readonly value: T | undefined;
};

/** Both rows of a cell, as returned by one read. */
export type CellRows = {
	readonly lease: Versioned<LeaseRecord>;
	readonly cell: Versioned<CellRecord>;
};

/** A write of one or both rows. It takes effect only if both rows still have the given versions. */
export type CellWrite = {
	readonly writeId: string;
	readonly leaseVersion: number;
	readonly cellVersion: number;
	/** Absent when the lease row does not change. */
	readonly lease?: LeaseRecord;
	/** Absent when the cell row does not change. */
	readonly cell?: CellRecord;
};

/** The outcome of a write to the store, as far as the writer knows it. */
export type WriteOutcome = 'written' | 'conflict' | 'unavailable' | 'outcome-unknown';

/** A grant as the controller sends it to the member. */
export type GrantOrder = {
	readonly service: string;
	readonly partition: number;
	readonly fence: Fence;
	/** Absent when nobody owned the partition before. */
	readonly predecessor?: {readonly node: NodeIdentity; readonly released: boolean};
	/** Whether the member must admit no new requests, finish the running ones and then release the partition. */
	readonly release: boolean;
};
