import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { SimulatedFleet } from './SimulatedFleet.js';

const fleet = { hosts: 30, slots: 9, workMilliseconds: 300, seed: 2026 };
/** Largest share of requests that may be queued while another host has a free slot. */
const maxQueuedShare = 0.01;

describe('distribution of requests over the hosts of a service', () => {
  it('stale load: guards against overloaded hosts while others are idle in a large fleet', async () => {
    const large = new SimulatedFleet({ ...fleet, nodes: 88, utilisation: 0.6 });
    const share = await large.run(10_000);
    assert.ok(large.delivered > 4000);
    assert.ok(share < maxQueuedShare, `${share} of the requests were queued despite a free slot`);
  });

  it('stale load: guards against a worse distribution with more sending nodes', async () => {
    const small = new SimulatedFleet({ ...fleet, nodes: 30, utilisation: 0.75 });
    const large = new SimulatedFleet({ ...fleet, nodes: 300, utilisation: 0.75 });
    const [few, many] = [await small.run(5000), await large.run(5000)];
    assert.ok(many < few + maxQueuedShare, `${many} with 300 nodes, ${few} with 30`);
  });

  it('quiet fleet: guards against probes while nearly every host has a free slot', async () => {
    const quiet = new SimulatedFleet({ ...fleet, nodes: 88, utilisation: 0.3 });
    const share = await quiet.run(10_000);
    assert.ok(quiet.probes < quiet.delivered, `${quiet.probes} for ${quiet.delivered} requests`);
    assert.ok(share < maxQueuedShare, `${share} of the requests were queued despite a free slot`);
  });

  it('rising load: guards against overloaded hosts when probes were left out before', async () => {
    const busy = new SimulatedFleet({ ...fleet, nodes: 88, utilisation: 0.5 });
    const share = await busy.run(10_000);
    assert.ok(share < maxQueuedShare, `${share} of the requests were queued despite a free slot`);
  });
});
