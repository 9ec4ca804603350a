/**
 * Computes the probability that a request has to wait at a host with some slots, in use by some
 * share on average, if requests arrive independently of each other (Erlang C formula).
 */
export function waitProbability(slots: number, utilization: number): number {
  if (utilization >= 1) return 1;
  const load = slots * utilization;
  let blocking = 1;
  for (let slot = 1; slot <= slots; slot += 1)
    blocking = (load * blocking) / (slot + load * blocking);
  return blocking / (1 - utilization * (1 - blocking));
}
