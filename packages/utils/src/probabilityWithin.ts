/** Standard deviation of the time that a request takes, as a share of its mean. */
const spreadShare = 0.5;
const minimumSpreadMilliseconds = 10;
/** Slope with which a logistic curve is closest to the normal distribution. */
const logisticSlope = 1.7;

/** Probability that something that takes `expected` on average is done within `allowed`, both in milliseconds. */
export function onTimeProbability(expected: number, allowed: number): number {
  const spread = expected * spreadShare + minimumSpreadMilliseconds;
  return 1 / (1 + Math.exp((logisticSlope * (expected - allowed)) / spread));
}
