import type {Incarnation, NodeIdentity, PartitionId} from '@buckthornpoint/types/identity.js';
import type {RequestResult} from '@buckthornpoint/types/requests.js';

/** Query to a node for the outcome of a request. A node that has not seen the request refuses the queried attempt and earlier ones from then on. */
export type OutcomeQuery = {
	readonly requestId: string;
	readonly partition: PartitionId;
	/** The node refuses this attempt and earlier ones if it has not seen the request. */
	readonly attempt: number;
	/** Instance of the node that the query is for; any other instance answers `unknown`. */
	readonly targetIncarnation: Incarnation;
	/** Maximum number of further earlier owners that may be queried in turn. */
	readonly remainingHops: number;
};

/** Outcome of a request as known to a node. `never-seen` is a proof: neither the node nor an earlier owner has executed the request, and neither will execute the queried attempt or an earlier one. */
export type OutcomeReport
	= | {readonly state: 'never-seen' | 'running' | 'unknown'}
		| {readonly state: 'finished'; readonly result: RequestResult};

/** Sends an outcome query to another node. The report is `unknown` if the node can't be reached. */
export type QueryOutcome = (node: NodeIdentity, query: OutcomeQuery, signal: AbortSignal) => Promise<OutcomeReport>;
