import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { expect } from 'chai';
import { createStoreClient, type StoreClient } from '../../platform/storeClient.js';

/** As many as the polls of an instance keep open. */
const CONNECTIONS = 3;
const MAX_READS = 6;
/** End and first retained offset of an empty log. */
const EMPTY_LOG = Buffer.alloc(16);

describe('connections to the store that fall silent at once while new ones work', () => {
  let server: Server;
  let client: StoreClient;
  let open: Set<Socket>;
  let silent: Set<Socket>;

  beforeEach(async () => {
    open = new Set();
    silent = new Set();
    server = createServer((req, res) => {
      // The answers of the first calls overlap, so that each one takes a connection of its own.
      if (!silent.has(req.socket)) setImmediate(() => res.end(EMPTY_LOG));
    });
    server.on('connection', (socket) => open.add(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    client = createStoreClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    const read = async () => client.readKeyed('keyed.servers', 0, 0);
    await Promise.all(Array.from({ length: CONNECTIONS }, read));
    expect(open.size).to.equal(CONNECTIONS);
    silent = new Set(open);
  });

  afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });

  async function readFails(): Promise<boolean> {
    return client.readKeyed('keyed.servers', 0, 0).then(
      () => false,
      () => true,
    );
  }

  it('cost one read its time limit, not one read each', async () => {
    let failures = 0;
    // eslint-disable-next-line no-await-in-loop -- a read follows the failure of the one before
    while (failures < MAX_READS && (await readFails())) failures += 1;
    expect(failures).to.equal(1);
  });
});
