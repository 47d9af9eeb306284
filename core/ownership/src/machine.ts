import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {NodeIdentity, PartitionId} from '@buckthornpoint/types/identity.js';
import type {BackendServer, RoutingTable} from '@buckthornpoint/types/membership.js';
import type {CellMessage, LoadReport} from './messages.js';
import type {OwnershipView} from './ownership-view.js';
import type {CellRows, CellWrite, WriteOutcome} from './records.js';

/** An input of a `CellMachine`. */
export type CellInput
	/** Time has passed: it is the time of the last `wake-at` effect, or later. */
	= | {readonly kind: 'wake'}
		| {readonly kind: 'message'; readonly from: NodeIdentity; readonly message: CellMessage}
	/**
	 * The transport could not deliver the message: the peer refused the connection or did not answer in time. This does
	 * not prove that the peer is down.
	 */
		| {readonly kind: 'delivery-failed'; readonly peerOrigin: string; readonly message: CellMessage}
	/** `rows` is undefined when the store could not be read. */
		| {readonly kind: 'store-read'; readonly operationId: number; readonly rows: CellRows | undefined}
		| {readonly kind: 'store-written'; readonly operationId: number; readonly outcome: WriteOutcome}
		| {readonly kind: 'backend-server-announced'; readonly backendServer: BackendServer}
		| {readonly kind: 'backend-server-silent'}
	/** No request of the partition is running any more; its grant is `releasing`. */
		| {readonly kind: 'partition-drained'; readonly partition: PartitionId}
		| {readonly kind: 'load-measured'; readonly load: LoadReport}
	/** An accepted configuration. It is ignored unless it is newer than the node's. */
		| {readonly kind: 'configuration-learned'; readonly configuration: Configuration}
	/** The process was asked to stop; it first hands over its partitions. */
		| {readonly kind: 'stop-requested'};

/** An effect that the caller of a `CellMachine` has to carry out. */
export type CellEffect
	= | {readonly kind: 'send'; readonly to: NodeIdentity | undefined; readonly peerOrigin: string; readonly message: CellMessage}
		| {readonly kind: 'read-store'; readonly operationId: number}
		| {readonly kind: 'write-store'; readonly operationId: number; readonly write: CellWrite}
	/** Replaces the previous timer: the next `wake` is due at this time of the node's monotonic clock. */
		| {readonly kind: 'wake-at'; readonly monotonicMs: number}
		| {readonly kind: 'ownership-changed'; readonly view: OwnershipView}
		| {readonly kind: 'routing-changed'; readonly table: RoutingTable}
		| {readonly kind: 'configuration-changed'; readonly configuration: Configuration}
	/** The node may exit: it holds no partitions any more, or its lease has ended. */
		| {readonly kind: 'stopped'}
	/** An event for the log and the metrics. */
		| {readonly kind: 'event'; readonly event: CellEvent};

/** An event for the log and the metrics. */
export type CellEvent
	= | {readonly name: 'controller-lease-acquired'; readonly epoch: number}
		| {readonly name: 'controller-lease-lost'; readonly epoch: number; readonly reason: string}
		| {readonly name: 'authority-extended-without-store'; readonly epoch: number}
		| {readonly name: 'member-joined'; readonly vmId: string}
		| {readonly name: 'member-lost'; readonly vmId: string}
		| {readonly name: 'member-left'; readonly vmId: string}
		| {readonly name: 'partitions-moved'; readonly count: number; readonly reason: string}
		| {readonly name: 'lease-lapsed'}
		| {readonly name: 'map-in-force'; readonly version: number};

/** Clocks and randomness that a step uses. */
export type CellContext = {
	readonly now: Timestamp;
	readonly random: RandomSource;
};
