import type {Incarnation, NodeIdentity, PartitionId} from '@buckthornpoint/types/identity.js';
import type {RequestResult} from '@buckthornpoint/types/requests.js';

/** Query to a node for the outcome of a request. A node that has not seen the request refuses it from then on. */
export type OutcomeQuery = {
	readonly requestId: string;
	readonly partition: PartitionId;
	/** The node refuses this attempt and earlier ones if it has not seen the request. */
	readonly attempt: number;
	/** Instance of the node that the query is for; any other instance answers `unknown`. */
	readonly targetIncarnation: Incarnation;
	/** How many earlier owners the query may be passed on to. */
	readonly remainingHops: number;
};

/** Outcome of a request as known to a node. `never-seen` is a proof: neither the node nor an earlier owner has executed the request or will do so. */
export type OutcomeReport
	= | {readonly state: 'never-seen' | 'running' | 'unknown'}
		| {readonly state: 'finished'; readonly result: RequestResult};

/** Sends an outcome query to another node. The report is `unknown` if the node can't be reached. */
export type QueryOutcome = (node: NodeIdentity, query: OutcomeQuery, signal: AbortSignal) => Promise<OutcomeReport>;
