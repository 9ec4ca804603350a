import { repositoryPath } from '@hickorybridge/replay';
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { describe, it } from 'node:test';

import { formatBreach } from '../checks/Breach.js';
import { runSoak } from '../runSoak.js';

describe('a short soak', () => {
  it('guards against ends, losses and repeats around planned stops, reloads and configurations', async () => {
    execFileSync(process.execPath, [repositoryPath('scripts/bundleHostNode.mjs')]);
    const report = await runSoak({ seed: 2026, seconds: 30, profile: 'planned', hosts: 6 });
    assert.deepEqual(report.breaches.map(formatBreach), [], `kept in ${report.directory}`);
    assert.ok((report.counts.answered200 ?? 0) > 300, JSON.stringify(report.counts));
    assert.equal(existsSync(report.directory), false, 'a clean run leaves no files');
  });
});
