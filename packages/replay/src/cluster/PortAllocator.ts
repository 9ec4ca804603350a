import { createServer } from 'node:net';

/** Below the range from which Linux takes the ports of outgoing connections (32768 and up). */
const firstPort = 12_000;
const portCount = 18_000;

/** Finds free loopback ports. Runs that start at the same time begin at different places. */
export class PortAllocator {
  #next = firstPort + ((process.pid * 97) % portCount);

  /** Gives a port that is free at the moment and that this allocator has not given before. */
  async take(): Promise<number> {
    for (let tries = 0; tries < portCount; tries += 1) {
      const port = this.#next;
      this.#next = firstPort + ((port + 1 - firstPort) % portCount);
      if (await isFree(port)) return port;
    }
    throw new Error(
      `taking a free port: none in ${firstPort} to ${firstPort + portCount - 1} on 127.0.0.1`,
    );
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
