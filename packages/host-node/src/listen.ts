import type { SocketAddress } from '@hickorybridge/types';
import type { Server } from 'node:http';

/** Listens on an address. Rejects when the address cannot be used. */
export async function listen(server: Server, address: SocketAddress): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
