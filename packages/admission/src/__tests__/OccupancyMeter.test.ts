import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { OccupancyMeter } from '../OccupancyMeter.js';

describe('occupancy of a backend server', () => {
  it('guards against waiting time and time at the limit that cannot be told apart in the log', () => {
    const occupancy = new OccupancyMeter(2, 0);
    occupancy.update({ inFlight: 1, waiting: 0, limit: 2 }, 100);
    occupancy.update({ inFlight: 2, waiting: 0, limit: 2 }, 200);
    occupancy.update({ inFlight: 2, waiting: 1, limit: 2 }, 300);
    occupancy.update({ inFlight: 1, waiting: 0, limit: 2 }, 500);
    assert.deepEqual(occupancy.takeSummary(1000), {
      milliseconds: 1000,
      inFlightMilliseconds: 100 + 3 * 200 + 500,
      waitingMilliseconds: 200,
      fullMilliseconds: 300,
      admitted: 2,
      limit: 2,
    });
  });

  it('guards against a summary that counts the time before the previous one again', () => {
    const occupancy = new OccupancyMeter(2, 0);
    occupancy.update({ inFlight: 1, waiting: 0, limit: 2 }, 0);
    occupancy.takeSummary(400);
    const { admitted, inFlightMilliseconds, milliseconds } = occupancy.takeSummary(500);
    assert.deepEqual([admitted, inFlightMilliseconds, milliseconds], [0, 100, 100]);
  });
});
