/** Standard deviation of a request's duration, as a share of its mean. */
const relativeStandardDeviation = 0.5;
const minimumStandardDeviationMilliseconds = 10;
/** Scale at which the logistic function best approximates the normal distribution function. */
const logisticSlope = 1.7;

/**
 * Returns the probability that work with the mean duration `expected` completes within `allowed`,
 * both in milliseconds.
 */
export function onTimeProbability(expected: number, allowed: number): number {
  const standardDeviation =
    expected * relativeStandardDeviation + minimumStandardDeviationMilliseconds;
  return 1 / (1 + Math.exp((logisticSlope * (expected - allowed)) / standardDeviation));
}
