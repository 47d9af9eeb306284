/** Greatest relative drift between the clocks of two machines: the platform bounds the drift of each by 2%. */
export const maxClockDrift = 0.04;
