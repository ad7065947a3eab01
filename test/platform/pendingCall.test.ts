import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect } from 'chai';
import { createStoreClient, type StoreClient } from '../../platform/storeClient.js';

const CALLS = 10;
/** Many times the time limit of a call. */
const PENDING_AFTER_MS = 20_000;
const COLLECTION_INTERVAL_MS = 50;

/** Forces garbage collections until it is told to stop. */
function collectGarbage(): () => void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  const timer = setInterval(collect, COLLECTION_INTERVAL_MS);
  return () => clearInterval(timer);
}

describe('a call to a store that never answers', () => {
  let server: Server;
  let client: StoreClient;

  beforeEach(async () => {
    server = createServer(() => undefined);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    client = createStoreClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  });

  afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });

  it('ends although garbage is collected while it waits', async () => {
    const stopCollecting = collectGarbage();
    let ended = 0;
    const calls = Array.from({ length: CALLS }, async () =>
      client.readKeyed('keyed.servers', 0, 0).catch(() => {
        ended += 1;
      }),
    );
    await Promise.race([Promise.all(calls), sleep(PENDING_AFTER_MS, undefined, { ref: false })]);
    stopCollecting();
    expect(ended).to.equal(CALLS);
  });
});
