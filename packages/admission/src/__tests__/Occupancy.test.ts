import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Occupancy } from '../Occupancy.js';

describe('occupancy of a backend server', () => {
  it('guards against waiting and full times that cannot be told from the log', () => {
    const occupancy = new Occupancy(2, 0);
    occupancy.update({ inFlight: 1, waiting: 0, limit: 2 }, 100);
    occupancy.update({ inFlight: 2, waiting: 0, limit: 2 }, 200);
    occupancy.update({ inFlight: 2, waiting: 1, limit: 2 }, 300);
    occupancy.update({ inFlight: 1, waiting: 0, limit: 2 }, 500);
    assert.deepEqual(occupancy.take(1000), {
      milliseconds: 1000,
      inFlightMilliseconds: 100 + 3 * 200 + 500,
      waitingMilliseconds: 200,
      fullMilliseconds: 300,
      admitted: 2,
      limit: 2,
    });
  });

  it('guards against a summary that counts the time before the last one again', () => {
    const occupancy = new Occupancy(2, 0);
    occupancy.update({ inFlight: 1, waiting: 0, limit: 2 }, 0);
    occupancy.take(400);
    const { admitted, inFlightMilliseconds, milliseconds } = occupancy.take(500);
    assert.deepEqual([admitted, inFlightMilliseconds, milliseconds], [0, 100, 100]);
  });
});
