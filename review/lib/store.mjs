/**
 * Stand-in for the platform's store: keyed topics with `log-append`, `log-read` (long poll) and
 * `log-newest`, as PROTOCOL.md describes them. It answers at once and loses nothing.
 */
import { createServer } from 'node:http';
import { listen, readAll } from './net.mjs';

const MAX_WAIT_MS = 30_000;

/** Creates and starts a store on a loopback address. */
export async function startStore(host = '127.0.0.1') {
  const topics = new Map();

  function topicOf(name) {
    if (!topics.has(name)) topics.set(name, { records: [], newest: new Map(), waiters: new Set() });
    return topics.get(name);
  }

  /** Appends a record; without a value, the key is dropped. Returns its offset. */
  function append(name, key, value) {
    const topic = topicOf(name);
    const offset = topic.records.length;
    topic.records.push({ key, value });
    if (value === undefined) topic.newest.delete(key);
    else topic.newest.set(key, { value, offset });
    const { waiters } = topic;
    topic.waiters = new Set();
    waiters.forEach((wake) => wake());
    return offset;
  }

  function encode({ key, value }) {
    const keyBytes = Buffer.from(key);
    const valueBytes = value ?? Buffer.alloc(0);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + valueBytes.length, 0);
    head.writeUInt8(keyBytes.length, 4);
    return Buffer.concat([head, keyBytes, valueBytes]);
  }

  function read(name, query, res) {
    const from = Number(query.get('From'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('WaitMs') ?? 0));
    const topic = topicOf(name);
    const answer = () => {
      const bounds = Buffer.alloc(16);
      bounds.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const max = Number(query.get('MaxSize') ?? 1024);
      res.end(Buffer.concat([bounds, ...topic.records.slice(from, from + max).map(encode)]));
    };
    if (from < topic.records.length || waitMs === 0) {
      answer();
      return;
    }
    let timer;
    const wake = () => {
      clearTimeout(timer);
      topic.waiters.delete(wake);
      if (!res.destroyed) answer();
    };
    timer = setTimeout(wake, waitMs);
    topic.waiters.add(wake);
  }

  function newest(name, res) {
    const topic = topicOf(name);
    const Entries = [...topic.newest].map(([Key, { value, offset }]) => ({
      Key,
      Value: value.toString('base64'),
      Offset: offset,
    }));
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({ Entries, HasMore: false, EndOffset: topic.records.length }));
  }

  async function appendBody(name, req, res) {
    const body = await readAll(req);
    const first = topicOf(name).records.length;
    let at = 0;
    while (at + 4 < body.length) {
      const end = at + 4 + body.readUInt32BE(at);
      const keyEnd = at + 5 + body.readUInt8(at + 4);
      const value = body.subarray(keyEnd, end);
      append(name, body.toString('utf8', at + 5, keyEnd), value.length === 0 ? undefined : value);
      at = end;
    }
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({ Offset: first, EndOffset: topicOf(name).records.length }));
  }

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    const name = url.searchParams.get('Topic') ?? '';
    if (url.pathname === '/-/log-read') read(name, url.searchParams, res);
    else if (url.pathname === '/-/log-newest') newest(name, res);
    else if (url.pathname === '/-/log-append') void appendBody(name, req, res);
    else res.writeHead(404).end();
  });
  const port = await listen(server, host);
  return {
    address: `${host}:${port}`,
    append: (name, key, value) => append(name, key, Buffer.from(JSON.stringify(value))),
    remove: (name, key) => append(name, key, undefined),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
