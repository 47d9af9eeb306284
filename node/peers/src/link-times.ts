/** Time-out for the first answer on a new connection. Nodes are at most some milliseconds apart; a lost SYN is retransmitted after a second. */
export const connectTimeoutMs = 400;

/** Interval of the checks of a link with pending calls. */
export const checkIntervalMs = 250;

/** A link counts as silent if a pong has been pending for this long. */
export const silenceTimeoutMs = 900;

/** Delay between attempts to reach an unreachable node. Calls fail immediately until it is reached. */
export const probeIntervalMs = 250;

/** Attempts to reach a node stop if no call was made to it for this long. */
export const unusedProbeTimeoutMs = 5000;

/** After this long without received data, the link is pinged before a request that must not run twice is sent. */
export const pingAfterIdleMs = 300;

/** While a pong has been pending for longer than this, calls are held back: nodes are only some milliseconds apart. */
export const pongOverdueMs = 100;

/** How long a held-back call waits for a pong before it fails as not sent and may be routed elsewhere. */
export const heldBackTimeoutMs = 300;
