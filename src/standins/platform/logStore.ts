/**
 * Stand-in for the platform's store: keyed topics of one partition, read as a log or by the newest
 * record of each key. It can be slow, refuse, fall silent, lose answers and drop its history.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '../../core/clock.js';

/** What is wrong with the store. */
export type StoreFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'refuse'; readonly status: 429 | 503 }
  | { readonly kind: 'reset' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'slow'; readonly delayMs: Millis }
  /** Calls are carried out, and their answers are lost. */
  | { readonly kind: 'lost' };

export interface LogStore {
  readonly url: string;
  /** Appends a record to a keyed topic; without a value the key is dropped. */
  readonly put: (topic: string, key: string, value: string | undefined) => void;
  readonly newest: (topic: string, key: string) => string | undefined;
  readonly setFault: (fault: StoreFault) => void;
  /** Drops all records but the newest of each key. */
  readonly dropHistory: (topic: string) => void;
  /** Calls that arrived, by path. */
  readonly calls: () => ReadonlyMap<string, number>;
  readonly close: () => Promise<void>;
}

interface StoredRecord {
  readonly offset: number;
  readonly key: string;
  readonly value: Buffer;
}

interface Topic {
  records: StoredRecord[];
  end: number;
  readonly newest: Map<string, StoredRecord>;
  readonly waiting: Set<() => void>;
}

const PAGE_SIZE = 500;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** Starts the store on a port of the loopback interface. */
export async function startLogStore(): Promise<LogStore> {
  const topics = new Map<string, Topic>();
  const calls = new Map<string, number>();
  let fault: StoreFault = { kind: 'none' };

  function topicOf(name: string): Topic {
    const topic = topics.get(name) ?? {
      records: [],
      end: 0,
      newest: new Map<string, StoredRecord>(),
      waiting: new Set<() => void>(),
    };
    topics.set(name, topic);
    return topic;
  }

  function append(name: string, key: string, value: Buffer): number {
    const topic = topicOf(name);
    const record = { offset: topic.end, key, value };
    topic.end += 1;
    topic.records.push(record);
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, record);
    topic.waiting.forEach((wake) => wake());
    topic.waiting.clear();
    return record.offset;
  }

  async function takeAppend(query: URLSearchParams, req: IncomingMessage, res: ServerResponse) {
    const parts: Buffer[] = [];
    for await (const part of req) parts.push(part as Buffer);
    const name = query.get('Topic') ?? '';
    const offsets = decodeAppended(Buffer.concat(parts)).map(({ key, value }) =>
      append(name, key, value),
    );
    if (fault.kind === 'lost') {
      req.socket.destroy();
      return;
    }
    sendJson(res, { Offset: offsets[0], EndOffset: topicOf(name).end });
  }

  async function readLog(query: URLSearchParams, res: ServerResponse): Promise<void> {
    const topic = topicOf(query.get('Topic') ?? '');
    const from = Number(query.get('From'));
    const waitMs = Number(query.get('WaitMs') ?? 0);
    if (from >= topic.end && waitMs > 0) await waitForNews(topic, waitMs);
    const [first] = topic.records;
    const start = first?.offset ?? topic.end;
    if (from < start) {
      sendJson(res, { StartOffset: start }, 410);
      return;
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(topic.end), 0);
    head.writeBigUInt64BE(BigInt(start), OFFSET_BYTES);
    const wanted = topic.records.filter(({ offset }) => offset >= from);
    res.writeHead(200, { 'content-type': 'application/octet-stream' });
    res.end(Buffer.concat([head, ...wanted.map(encodeRecord)]));
  }

  function readNewest(query: URLSearchParams, res: ServerResponse): void {
    const topic = topicOf(query.get('Topic') ?? '');
    const after = query.get('After') ?? '';
    const rest = [...topic.newest.values()]
      .filter(({ key }) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(res, {
      Entries: rest.slice(0, PAGE_SIZE).map(({ key, value, offset }) => ({
        Key: key,
        Value: value.toString('base64'),
        Offset: offset,
      })),
      HasMore: rest.length > PAGE_SIZE,
      EndOffset: topic.end,
    });
  }

  async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
    if (fault.kind === 'silent') return;
    if (fault.kind === 'reset') {
      req.socket.resetAndDestroy();
      return;
    }
    if (fault.kind === 'refuse') {
      sendJson(res, {}, fault.status);
      return;
    }
    if (fault.kind === 'slow') await sleep(fault.delayMs);
    if (url.pathname === '/-/log-append') await takeAppend(url.searchParams, req, res);
    else if (url.pathname === '/-/log-read') await readLog(url.searchParams, res);
    else if (url.pathname === '/-/log-newest') readNewest(url.searchParams, res);
    else sendJson(res, {}, 404);
  }

  const server = createServer((req, res) => {
    handle(req, res).catch(() => res.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    put: (topic, key, value) => {
      append(topic, key, Buffer.from(value ?? ''));
    },
    newest: (topic, key) => topicOf(topic).newest.get(key)?.value.toString('utf8'),
    setFault: (next) => {
      fault = next;
    },
    dropHistory: (name) => {
      const topic = topicOf(name);
      topic.records = [];
    },
    calls: () => calls,
    close: async () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function waitForNews(topic: Topic, waitMs: Millis): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(wake, waitMs);
    function wake(): void {
      clearTimeout(timer);
      topic.waiting.delete(wake);
      resolve();
    }
    topic.waiting.add(wake);
  });
}

function sendJson(res: ServerResponse, value: unknown, status = 200): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}

function encodeRecord({ key, value }: StoredRecord): Buffer {
  const name = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + name.length + value.length, 0);
  head.writeUInt8(name.length, LENGTH_BYTES);
  return Buffer.concat([head, name, value]);
}

interface AppendedRecord {
  readonly key: string;
  readonly value: Buffer;
}

function decodeAppended(body: Buffer): readonly AppendedRecord[] {
  const records: AppendedRecord[] = [];
  let at = 0;
  while (at + LENGTH_BYTES < body.length) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    const keyEnd = at + LENGTH_BYTES + 1 + body.readUInt8(at + LENGTH_BYTES);
    const key = body.toString('utf8', at + LENGTH_BYTES + 1, keyEnd);
    records.push({ key, value: body.subarray(keyEnd, end) });
    at = end;
  }
  return records;
}
