/** Stand-in for a client: sends one request and tells how its answer ended. */
import { Agent, request } from 'node:http';

/** Connections that are kept open for many requests. */
export const createAgent = (maxSockets = 64) =>
  new Agent({ keepAlive: true, maxSockets, keepAliveMsecs: 60_000 });

/**
 * Sends a request. Resolves with whether its connection had been used before, and `kind`: `answered` (whole), `closed` without an answer, `cut` in the
 * answer, or `unanswered` when the time that the client waits has passed.
 */
export async function send({ to, agent, method = 'POST', path, headers, body, waitMs }) {
  const sentAt = Date.now();
  return new Promise((resolve) => {
    let status;
    let bytes = 0;
    let timer;
    const parts = [];
    const req = request({ ...to, agent, method, path, headers });
    const done = (kind, more = {}) => {
      clearTimeout(timer);
      resolve({
        kind,
        isKept: req.reusedSocket,
        status,
        bytes,
        afterMs: Date.now() - sentAt,
        ...more,
      });
    };
    timer = setTimeout(() => {
      done('unanswered');
      req.destroy();
    }, waitMs);
    req.once('response', (res) => {
      status = res.statusCode;
      res.on('data', (part) => {
        bytes += part.length;
        parts.push(part);
      });
      res.once('end', () =>
        done('answered', { text: Buffer.concat(parts).toString('utf8'), headers: res.headers }),
      );
      res.once('aborted', () => done('cut'));
      res.once('error', () => done('cut'));
    });
    req.once('error', (err) => done(status === undefined ? 'closed' : 'cut', { error: err.code }));
    req.end(body);
  });
}
