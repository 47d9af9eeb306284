import type {
	CellRecord, CellRows, CellWrite, LeaseRecord, Versioned,
} from '../src/records.js';

/** In-memory store of both rows of a cell, written by compare-and-set. */
export class SimulatedStore {
	lease: Versioned<LeaseRecord> = {version: 0, writeId: '', value: undefined};
	cell: Versioned<CellRecord> = {version: 0, writeId: '', value: undefined};

	/** Applies a write if its versions match; returns whether they did. */
	write(write: CellWrite): boolean {
		if (write.leaseVersion !== this.lease.version || write.cellVersion !== this.cell.version) {
			return false;
		}

		if (write.lease !== undefined) {
			this.lease = {version: this.lease.version + 1, writeId: write.writeId, value: write.lease};
		}

		if (write.cell !== undefined) {
			this.cell = {version: this.cell.version + 1, writeId: write.writeId, value: write.cell};
		}

		return true;
	}

	read(): CellRows {
		return {lease: this.lease, cell: this.cell};
	}
}
