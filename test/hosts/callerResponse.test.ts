import { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { createCallerResponse } from '../../src/hosts/routing/callerResponse.js';

const HEAD = { status: 200, rawHeaders: ['Response-Signature', 's'] };

/** Creates a response whose connection records the bytes of each write. */
function createResponse() {
  const writes: string[] = [];
  const connection = new Duplex({
    read: () => {},
    write: (chunk: Buffer, _encoding, done) => {
      writes.push(chunk.toString());
      done();
    },
    writev: (chunks, done) => {
      writes.push(chunks.map(({ chunk }) => String(chunk)).join(''));
      done();
    },
  });
  const req = new IncomingMessage(connection as Socket);
  [req.httpVersionMajor, req.httpVersionMinor] = [1, 1];
  const res = new ServerResponse(req);
  res.assignSocket(connection as Socket);
  return { response: createCallerResponse({ res, shouldClose: () => false }), writes };
}

describe('response to a caller', () => {
  it('sends a head together with the event that arrived with it', async () => {
    const { response, writes } = createResponse();
    response.forwardHead(HEAD);
    response.write(Buffer.from('data: 1\n\n'));
    await nextTurn();
    expect(writes).to.have.length(1);
    expect(writes[0]).to.match(/^HTTP\/1\.1 200 OK\r\n[^]*data: 1\n\n/u);
  });

  it('sends a head without waiting for the first event', async () => {
    const { response, writes } = createResponse();
    response.forwardHead(HEAD);
    await nextTurn();
    expect(writes.join('')).to.match(/Response-Signature: s\r\n/u);
    response.write(Buffer.from('data: 1\n\n'));
    response.end();
    await nextTurn();
    expect(writes.join('')).to.match(/data: 1\n\n\r\n0\r\n\r\n$/u);
  });

  it('ends a response without a body', async () => {
    const { response, writes } = createResponse();
    response.forwardHead({ ...HEAD, rawHeaders: ['Content-Length', '0'] });
    response.end();
    await nextTurn();
    expect(writes.join('')).to.match(/Content-Length: 0\r\n[^]*\r\n\r\n$/u);
  });
});
