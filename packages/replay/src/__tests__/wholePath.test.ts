import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Caller, DeploymentCluster, repositoryPath } from '../index.js';
import type { Sending } from '../index.js';

const deploymentFile = repositoryPath('examples/litoteca.toml');

describe('whole path with real processes', () => {
  it('guards against a system that starts but does not serve', { timeout: 55_000 }, async () => {
    await using cluster = await DeploymentCluster.start({
      deploymentFile,
      seed: 11,
      services: ['catalogue', 'laboratory'],
      profile: { backendServersPerService: 2 },
    });
    assert.equal(cluster.hosts.length, 4);
    await using caller = new Caller(cluster.deployment);
    const base = { time: 0, region: 'minas', size: 3_000 };
    const through = (id: string) => {
      const { plan, callersUrl } = cluster.host(id);
      return [{ nodeId: plan.nodeId, url: callersUrl }];
    };
    const read: Sending = {
      entry: { ...base, service: 'catalogue', kind: 'read-box-record' },
      mark: 'read',
      work: 'read',
      targets: through('laboratory-1'),
    };
    const cut: Sending = {
      entry: { ...base, service: 'laboratory', kind: 'order-sample-cut', key: 'cut-1' },
      mark: 'cut',
      work: 'cut',
      targets: through('catalogue-2'),
    };
    for (const sending of [read, cut]) {
      const record = await caller.send(sending);
      assert.equal(record.told, 'answered', JSON.stringify(record));
      assert.ok(record.bytesRight);
    }
    const runs = cluster.hosts.flatMap((host) => host.runs().map((run) => run.mark));
    assert.deepEqual(runs.sort(), ['cut', 'read']);
    assert.deepEqual(cluster.unexpectedEnds(), []);
  });
});
