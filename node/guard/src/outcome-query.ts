import type {Incarnation, NodeIdentity, PartitionId} from '@buckthornpoint/types/identity.js';
import type {RequestResult} from '@buckthornpoint/types/requests.js';

/** Asks a node what became of a request. A request that it has not seen will not run there any more after the question. */
export type OutcomeQuestion = {
	readonly requestId: string;
	readonly partition: PartitionId;
	/** The question refuses this sending and earlier ones. */
	readonly attempt: number;
	/** Run of the node that is meant; another one answers `unknown`. */
	readonly targetIncarnation: Incarnation;
	/** How many earlier owners may be asked on the way. */
	readonly remainingHops: number;
};

/** What a node knows of a request. `never-seen` is proved: neither it nor an owner before it ran the request or will. */
export type OutcomeReport
	= | {readonly state: 'never-seen' | 'running' | 'unknown'}
		| {readonly state: 'finished'; readonly result: RequestResult};

/** Puts a question to another node. A node that can't be reached counts as one that answers `unknown`. */
export type AskOutcome = (node: NodeIdentity, question: OutcomeQuestion, signal: AbortSignal) => Promise<OutcomeReport>;
