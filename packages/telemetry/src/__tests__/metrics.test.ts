import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMetrics, LatencyHistogram } from '../index.js';

describe('metrics', () => {
  it('guards against output that Prometheus cannot read', () => {
    const metrics = createMetrics();
    metrics.requestFinished('catalogue', 'read', 'answered', 3);
    metrics.requestFinished('catalogue', 'read', 'answered', 40_000);
    metrics.gauge('openRequests', () => 7);
    const text = metrics.render();
    assert.match(
      text,
      /^hickorybridge_requests_total\{service="catalogue",kind="read",outcome="answered"\} 2$/m,
    );
    assert.match(text, /duration_seconds_bucket\{service="catalogue",kind="read",le="0.005"\} 1$/m);
    assert.match(text, /duration_seconds_bucket\{.*le="\+Inf"\} 2$/m);
    assert.match(text, /duration_seconds_sum\{.*\} 40.003$/m);
    assert.match(text, /^hickorybridge_open_requests 7$/m);
    const sample = /^[a-z_]+(\{([a-z]+="[^"]*",?)+\})? [\d.e+-]+$/;
    for (const line of text.trimEnd().split('\n')) assert.match(line, /^# (HELP|TYPE) |^\w/);
    for (const line of text
      .trimEnd()
      .split('\n')
      .filter((each) => !each.startsWith('#'))) {
      assert.match(line, sample);
    }
  });

  it('guards against quantiles that are off by more than a hundredth', () => {
    const histogram = new LatencyHistogram();
    for (let count = 1; count <= 1_000; count += 1) histogram.record(count);
    assert.ok(Math.abs(histogram.quantile(0.99) - 990) <= 9.9);
    histogram.record(10_000_000);
    assert.equal(histogram.count, 1_001);
  });
});
