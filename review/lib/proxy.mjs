// A relay for connections, whose open connections can go silent while new ones work.
import net from 'node:net';

export class Proxy {
  #target;

  #open = new Set();

  #server = net.createServer((socket) => this.#accept(socket));

  constructor(target) {
    this.#target = target;
  }

  async listen(host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** From now on nothing passes on the connections that are open, and none of them is closed. */
  silence() {
    for (const { near, far } of this.#open) {
      near.unpipe(far);
      far.unpipe(near);
      // What arrives is taken and dropped.
      near.resume();
      far.resume();
    }
    const count = this.#open.size;
    this.#open.clear();
    return count;
  }

  #accept(near) {
    const far = net.connect({ ...this.#target, allowHalfOpen: true });
    const pair = { near, far };
    this.#open.add(pair);
    const end = () => {
      // A silent connection is not closed towards the other side.
      if (!this.#open.delete(pair)) return;
      near.destroy();
      far.destroy();
    };
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    }
    near.pipe(far);
    far.pipe(near);
  }
}
