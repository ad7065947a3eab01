import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createBalancer } from '../../src/bench/load/balancer.js';
import { until } from '../standins/helpers.js';

describe('balancer', () => {
  it('returns all instances, starting with the picked one', () => {
    const balancer = createBalancer([{ url: 'a' }, { url: 'b' }, { url: 'c' }]);
    expect(balancer.order(0)).to.deep.equal(['a', 'b', 'c']);
    expect(balancer.order(0.5)).to.deep.equal(['b', 'c', 'a']);
    expect(balancer.order(0.99)).to.deep.equal(['c', 'a', 'b']);
    balancer.stop();
  });

  it('omits an instance while it is not ready', async () => {
    let status = 503;
    const server = createServer((_req, res) => {
      res.writeHead(status).end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const balancer = createBalancer([
      { url: 'a' },
      { url: 'b', readyUrl: `http://127.0.0.1:${port}/readyz` },
    ]);
    await until(() => balancer.order(0).length === 1);
    expect(balancer.order(0.99)).to.deep.equal(['a']);
    status = 200;
    await until(() => balancer.order(0).length === 2);
    balancer.stop();
    server.closeAllConnections();
    server.close();
  });
});
