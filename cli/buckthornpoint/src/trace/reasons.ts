/** Meaning of a failure reason, as listed in docs/OPERATIONS.md, and the events that confirm it when logged near the request, by the node that logs them. */
export type Reason = {
	readonly meaning: string;
	/** Events of the owner's node that gave the reason. */
	readonly ownerEvents?: readonly string[];
	/** Events of the entry node, which received the request from the caller. */
	readonly entryEvents?: readonly string[];
	/** Ownership changes logged by the controller, on whichever node it ran. */
	readonly controllerEvents?: readonly string[];
};

const controlEvents = ['control-event'];
const stopEvents = ['node-stopping', 'stop-step', 'node-stopped', 'node-started'];

const reasons: ReadonlyMap<string, Reason> = new Map<string, Reason>([
	['no-memory', {meaning: 'the body did not fit into the memory of the node beside other bodies'}],
	['overloaded', {meaning: 'the answer would have come after its target'}],
	['cold', {meaning: 'the server was just started and takes few requests', ownerEvents: ['backend-state']}],
	['limited', {meaning: 'the server advertises a request limit, and what it allows is taken', ownerEvents: ['backend-limit']}],
	['account-limit', {meaning: 'the client account is over its rate limit'}],
	['expired', {meaning: 'the request was queued until its answer would have been too late'}],
	['not-held', {
		meaning: 'the server has no grant for the key now: the key was moved, or the heartbeats of the server are missing',
		ownerEvents: ['ranges-assigned', 'backend-state', 'grant-shortened'], controllerEvents: controlEvents,
	}],
	['no-owner', {meaning: 'the key has no owner, or no server of the service is ready', entryEvents: ['node-started'], controllerEvents: controlEvents}],
	['no-node', {meaning: 'no server of the service is ready', ownerEvents: ['backend-state', ...stopEvents], controllerEvents: controlEvents}],
	['no-backend', {meaning: 'no local backend server is ready', ownerEvents: ['backend-state', 'node-started']}],
	['closed', {meaning: 'the backend server became unavailable while the request waited for it', ownerEvents: ['backend-state']}],
	['leaving', {meaning: 'the server announced that it is leaving', ownerEvents: ['backend-state']}],
	['evacuated', {meaning: 'the failure domain of the server is being evacuated', ownerEvents: ['evacuation']}],
	['peer-unreachable', {meaning: 'the owner\'s node could not be reached', ownerEvents: stopEvents, entryEvents: ['peer-failed']}],
	['stopping', {meaning: 'the node is stopping', ownerEvents: stopEvents, entryEvents: stopEvents}],
	['lost-on-way', {meaning: 'the request was lost with a connection between nodes before the other node read it', entryEvents: ['peer-failed']}],
	['held-up', {meaning: 'the request was in transit between nodes for over 0.25 s longer than usual, and was not started', entryEvents: ['peer-failed']}],
	['connection-refused', {meaning: 'the backend server refused the connection', ownerEvents: ['backend-state']}],
	['refused-by-backend', {meaning: 'the backend server refused the request', ownerEvents: ['backend-state']}],
	['silent', {meaning: 'the backend server does not answer', ownerEvents: ['backend-state']}],
	['no-configuration', {meaning: 'the node had received no routes yet', entryEvents: ['node-started', 'routes-in-force', 'store-lost']}],
	['connection-lost', {meaning: 'the connection to the backend server was lost', ownerEvents: ['backend-state']}],
	['garbled', {meaning: 'the data that the backend server sent was not a valid answer', ownerEvents: ['backend-state']}],
	['timeout', {meaning: 'no answer within the time limit of the route or the caller\'s deadline', ownerEvents: ['backend-state'], entryEvents: ['peer-failed']}],
	['peer-lost', {meaning: 'the connection to the owner\'s node broke while the request was there', ownerEvents: stopEvents, entryEvents: ['peer-failed']}],
	['cancelled', {meaning: 'its caller, or its entry node, stopped waiting for the answer'}],
]);

/** Reasons that the entry node determines by itself: no line of another node is expected. */
const entryReasons: ReadonlySet<string> = new Set(['account-limit', 'peer-unreachable', 'peer-lost', 'timeout', 'cancelled', 'no-owner', 'no-configuration']);

/** Returns what a reason means; an unlisted reason has no confirming events. */
export function getReason(name: string): Reason {
	return reasons.get(name) ?? {meaning: 'a reason that docs/OPERATIONS.md does not list'};
}

/** Returns whether the owner's node logs a line of its own for this reason. */
export function isLoggedByOwner(name: string | undefined): boolean {
	return name !== undefined && !entryReasons.has(name);
}
