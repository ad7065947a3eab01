/**
 * Stand-in for an engine of a plain service or of a model service. It registers itself in the store,
 * writes its entry there regularly, and answers each request as `answer` says; without it, with a
 * whole, signed body. A request counts as run once its head and body have been read.
 */
import { createServer } from 'node:http';
import { listen, readAll, sleep } from './net.mjs';

const HEARTBEAT_MS = 1_200;

export function signatureOf(requestId) {
  return `3e1b.07.${requestId}`;
}

/** Sends a whole, signed success. */
export function answerWhole(req, res, body = `answer to ${req.headers['request-id']}\n`) {
  const requestId = req.headers['request-id'];
  res.writeHead(200, {
    'Request-Id': requestId,
    'Response-Signature': signatureOf(requestId),
    'Content-Length': Buffer.byteLength(body),
  });
  res.end(body);
}

/**
 * Sends a stream of events, one at each interval, after the time to read the prompt; in chunks, or
 * without a length, so that it ends with its connection.
 */
export async function answerStream(
  req,
  res,
  { pieces, intervalMs, readMs = 0, isUnframed = false },
) {
  const requestId = req.headers['request-id'];
  await sleep(readMs);
  if (isUnframed) res.useChunkedEncodingByDefault = false;
  if (isUnframed) res.shouldKeepAlive = false;
  res.writeHead(200, {
    'Request-Id': requestId,
    'Response-Signature': signatureOf(requestId),
    'Content-Type': 'text/event-stream',
  });
  for (let i = 1; i <= pieces && !res.destroyed; i += 1) {
    res.write(`id: ${i}\ndata: piece ${i} of ${requestId}\n\n`);
    // eslint-disable-next-line no-await-in-loop -- one after the other
    await sleep(intervalMs);
  }
  res.end();
}

export async function startEngine({
  store,
  id,
  service,
  zone,
  slots = 6,
  host,
  port: usedPort = 0,
  answer,
  record,
}) {
  let seq = 0;
  let isSilent = false;
  const born = Date.now();
  async function handle(req, res) {
    if (req.url === '/healthz' && !isSilent) {
      res.writeHead(200, { 'Instance-Id': id }).end();
      return;
    }
    let body;
    try {
      body = await readAll(req);
    } catch {
      return;
    }
    if (isSilent) return;
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      res.writeHead(421, { 'Instance-Id': id, 'Not-Executed': '1' }).end();
      return;
    }
    const requestId = req.headers['request-id'];
    if (requestId === undefined) {
      res.writeHead(400, { 'Not-Executed': '1' }).end();
      return;
    }
    record?.({ what: 'run', engine: id, requestId, path: req.url, bytes: body.length });
    (answer ?? answerWhole)(req, res, undefined, body);
  }

  const server = createServer(handle);
  server.keepAliveTimeout = 60_000;
  const address = `${host ?? '127.0.0.1'}:${await listen(server, host ?? '127.0.0.1', usedPort)}`;
  let state = 'ready';
  const beat = () => {
    seq += 1;
    store.append('keyed.servers', id, {
      Service: service,
      Address: address,
      Zone: zone,
      Version: 'v1',
      Slots: slots,
      State: state,
      ColdLeftMs: 0,
      Seq: seq,
      born,
    });
  };
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return {
    id,
    address,
    drain: () => {
      state = 'draining';
      beat();
    },
    /** Runs nothing more and writes its entry no more; `answer` has to leave what it runs unanswered. */
    fallSilent: () => {
      isSilent = true;
      clearInterval(timer);
    },
    /** Ends at once, as a crash would: all connections break, and its entry is written no more. */
    crash: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
    /** Has the platform remove the entry of an engine that has been silent for long. */
    expire: () => store.remove('keyed.servers', id),
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
