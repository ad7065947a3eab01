import { expect } from 'chai';
import { HTTPError } from 'h3';
import { createApplication } from '../../src/hosts/application.js';
import { createOperatorHost } from '../../src/hosts/operatorHost.js';

describe('application of a port', () => {
  it('says that a request the framework refuses was not executed', async () => {
    const app = createApplication();
    app.get('/', () => {
      throw new HTTPError({ status: 415, message: 'no such type' });
    });
    const res = await app.request('/');
    expect(res.status).to.equal(415);
    expect(res.headers.get('content-type')).to.equal('application/problem+json');
    expect(await res.json()).to.include({ executed: 'no', status: 415 });
  });

  it('does not say that a request whose handler failed was not executed', async () => {
    const app = createApplication();
    app.get('/', () => {
      throw new Error('a handler failed');
    });
    const res = await app.request('/');
    expect(res.status).to.equal(500);
    expect(await res.json()).to.include({ executed: 'unknown' });
  });

  it('answers a malformed escape on the port of operators with a problem document', async () => {
    const host = createOperatorHost({
      post: () => {},
      host: '127.0.0.1',
      port: 0,
      isReady: () => true,
      status: () => ({}),
    });
    const address = await host.listen();
    const res = await fetch(`http://${address}/%zz`);
    await host.close();
    expect(res.status).to.equal(404);
    expect(res.headers.get('content-type')).to.equal('application/problem+json');
    expect(await res.json()).to.include({ executed: 'no' });
  });
});
