/** The clocks of two machines may drift apart by this share: the platform bounds each by 2%. */
export const clockDrift = 0.04;
