import type {Moment} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {NodeIdentity, PartitionId} from '@buckthornpoint/types/identity.js';
import type {BackendServer, RoutingTable} from '@buckthornpoint/types/membership.js';
import type {CellMessage, LoadReport} from './messages.js';
import type {OwnershipView} from './ownership-view.js';
import type {CellRows, CellWrite, WriteOutcome} from './records.js';

/** What the machine of a node is told. */
export type CellInput
	/** Time has passed: at the moment of the last `wake` effect, or later. */
	= | {readonly kind: 'wake'}
		| {readonly kind: 'message'; readonly from: NodeIdentity; readonly message: CellMessage}
	/** The transport could not deliver: the peer refused the connection or did not answer in time. A hint, not a proof. */
		| {readonly kind: 'delivery-failed'; readonly peerOrigin: string; readonly message: CellMessage}
	/** `rows` is undefined when the store could not be read. */
		| {readonly kind: 'store-read'; readonly operationId: number; readonly rows: CellRows | undefined}
		| {readonly kind: 'store-written'; readonly operationId: number; readonly outcome: WriteOutcome}
		| {readonly kind: 'backend-server-announced'; readonly backendServer: BackendServer}
		| {readonly kind: 'backend-server-silent'}
	/** The guard finished everything of a partition whose grant says `releasing`. */
		| {readonly kind: 'partition-drained'; readonly partition: PartitionId}
		| {readonly kind: 'load-measured'; readonly load: LoadReport}
	/** A configuration that was accepted; an older one than the node has is ignored. */
		| {readonly kind: 'configuration-learned'; readonly configuration: Configuration}
	/** The process was asked to stop: its partitions are handed over first. */
		| {readonly kind: 'stop-requested'};

/** What the machine wants done. */
export type CellEffect
	= | {readonly kind: 'send'; readonly to: NodeIdentity | undefined; readonly peerOrigin: string; readonly message: CellMessage}
		| {readonly kind: 'read-store'; readonly operationId: number}
		| {readonly kind: 'write-store'; readonly operationId: number; readonly write: CellWrite}
	/** Replaces the earlier wish: the next `wake` is due at this monotonic time of the node, in milliseconds. */
		| {readonly kind: 'wake-at'; readonly monotonicMs: number}
		| {readonly kind: 'ownership-changed'; readonly view: OwnershipView}
		| {readonly kind: 'routing-changed'; readonly table: RoutingTable}
		| {readonly kind: 'configuration-changed'; readonly configuration: Configuration}
	/** The node holds nothing any more and may exit. */
		| {readonly kind: 'stopped'}
	/** For the log and the metrics. */
		| {readonly kind: 'event'; readonly event: CellEvent};

/** What happened, for the log and the metrics. */
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

/** What a step may look at besides its state and its input. */
export type CellContext = {
	readonly now: Moment;
	readonly random: RandomSource;
};
