import { rendezvousOrder } from '@hickorybridge/utils';

/** A node that may grant tokens. */
export interface BrokerHost {
  readonly nodeId: string;
  readonly region: string;
}

/** A broker with a smaller part of a bucket rarely has a whole token. */
const minimumTokensForEach = 2;
/** One in each of two regions, so that the loss of one leaves another. */
const minimumBrokers = 2;

/**
 * Chooses the brokers of a tenant: as many as the capacity of its bucket suffices for, with one
 * share in reserve, and as many in each region. A broker that is chosen from a list is also chosen
 * from each part of the list that contains it. Therefore brokers with different lists choose no
 * more than one of them counts, as long as each list contains all brokers that act.
 */
export function chooseBrokers(
  tenant: string,
  hosts: readonly BrokerHost[],
  capacity: number,
): readonly BrokerHost[] {
  const affordable = Math.floor(capacity / minimumTokensForEach) - 1;
  const maximum = Math.max(minimumBrokers, affordable);
  const regions = rendezvousOrder(tenant, [...new Set(hosts.map(({ region }) => region))]);
  const used = regions.slice(0, maximum);
  const countForEach = Math.floor(maximum / Math.max(1, used.length));
  return used.flatMap((region) => {
    const inRegion = hosts.filter((host) => host.region === region).map(({ nodeId }) => nodeId);
    const chosen = rendezvousOrder(tenant, inRegion).slice(0, countForEach);
    return chosen.map((nodeId) => ({ nodeId, region }));
  });
}
