/** Interval at which the controller renews its lease row: a third of the term, so that one lost answer does not cost the lease. */
export const renewalIntervalMs = 1000;

/** Interval at which range maps and moves are planned. */
export const planIntervalMs = 200;

/** Interval at which the controller reads the rows of the cell to remove obsolete ones. */
export const cleanupIntervalMs = 3_600_000;

/** Moves are planned only if the last acknowledged renewal is more recent. While the store answers, it always is more recent. */
export const maxRenewalAgeMs = 1500;
