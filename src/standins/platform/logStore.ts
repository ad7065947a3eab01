/**
 * Stand-in for the platform's store: keyed topics with one partition, which can be read as a log or
 * by the latest record of each key. Faults include delays, refusals, missing and lost responses, and
 * the loss of the history.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '../../core/clock.js';

/** Fault that applies to all calls until it is replaced. */
export type StoreFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'refuse'; readonly status: 429 | 503 }
  | { readonly kind: 'reset' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'slow'; readonly delayMs: Millis }
  /** Appends are executed, but their responses are lost. */
  | { readonly kind: 'lost' };

export interface LogStore {
  readonly url: string;
  /** Appends a record to a topic; an `undefined` value deletes the key. */
  readonly append: (topic: string, key: string, value: string | undefined) => void;
  readonly readLatest: (topic: string, key: string) => string | undefined;
  readonly setFault: (fault: StoreFault) => void;
  /** Takes a copy of all topics, for `restore`. */
  readonly takeCopy: () => StoreCopy;
  /** Comes back from a copy, in a new era: later records are gone, and offsets are given out again. */
  readonly restore: (copy: StoreCopy) => void;
  /** Discards the log of a topic but keeps the latest record of each key. */
  readonly dropHistory: (topic: string) => void;
  /** Number of received calls, by path. */
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
  endOffset: number;
  readonly latestByKey: Map<string, StoredRecord>;
  readonly waitingReaders: Set<() => void>;
}

/** The records of all topics at some time. */
export type StoreCopy = ReadonlyMap<string, readonly StoredRecord[]>;

const PAGE_SIZE = 500;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** Starts the store on a free port of the loopback interface. */
export async function startLogStore(): Promise<LogStore> {
  const topics = new Map<string, Topic>();
  const calls = new Map<string, number>();
  let fault: StoreFault = { kind: 'none' };
  let era = 1;

  function getTopic(name: string): Topic {
    const topic = topics.get(name) ?? {
      records: [],
      endOffset: 0,
      latestByKey: new Map<string, StoredRecord>(),
      waitingReaders: new Set<() => void>(),
    };
    topics.set(name, topic);
    return topic;
  }

  function append(name: string, key: string, value: Buffer): number {
    const topic = getTopic(name);
    const record = { offset: topic.endOffset, key, value };
    topic.endOffset += 1;
    topic.records.push(record);
    if (value.length === 0) topic.latestByKey.delete(key);
    else topic.latestByKey.set(key, record);
    topic.waitingReaders.forEach((wake) => wake());
    topic.waitingReaders.clear();
    return record.offset;
  }

  /** Empties a topic; its readers wait on. */
  function reset(topic: Topic): void {
    const emptied = topic;
    emptied.records = [];
    emptied.endOffset = 0;
    emptied.latestByKey.clear();
  }

  async function handleAppend(query: URLSearchParams, req: IncomingMessage, res: ServerResponse) {
    const chunks: Buffer[] = [];
    for await (const part of req) chunks.push(part as Buffer);
    const name = query.get('Topic') ?? '';
    const offsets = decodeRecords(Buffer.concat(chunks)).map(({ key, value }) =>
      append(name, key, value),
    );
    if (fault.kind === 'lost') {
      req.socket.destroy();
      return;
    }
    sendJson(res, { Offset: offsets[0], EndOffset: getTopic(name).endOffset });
  }

  async function handleLogRead(query: URLSearchParams, res: ServerResponse): Promise<void> {
    const topic = getTopic(query.get('Topic') ?? '');
    const from = Number(query.get('From'));
    const waitMs = Number(query.get('WaitMs') ?? 0);
    if (from === topic.endOffset && waitMs > 0) await waitForAppend(topic, waitMs);
    res.setHeader('Store-Era', String(era));
    const [first] = topic.records;
    const start = first?.offset ?? topic.endOffset;
    if (from < start || from > topic.endOffset) {
      sendJson(res, { StartOffset: start }, 410);
      return;
    }
    const header = Buffer.alloc(2 * OFFSET_BYTES);
    header.writeBigUInt64BE(BigInt(topic.endOffset), 0);
    header.writeBigUInt64BE(BigInt(start), OFFSET_BYTES);
    const requested = topic.records.filter(({ offset }) => offset >= from);
    res.writeHead(200, { 'content-type': 'application/octet-stream' });
    res.end(Buffer.concat([header, ...requested.map(encodeRecord)]));
  }

  function handleLatestRead(query: URLSearchParams, res: ServerResponse): void {
    const topic = getTopic(query.get('Topic') ?? '');
    const after = query.get('After') ?? '';
    const remaining = [...topic.latestByKey.values()]
      .filter(({ key }) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(res, {
      Entries: remaining.slice(0, PAGE_SIZE).map(({ key, value, offset }) => ({
        Key: key,
        Value: value.toString('base64'),
        Offset: offset,
      })),
      HasMore: remaining.length > PAGE_SIZE,
      EndOffset: topic.endOffset,
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
    res.setHeader('Store-Era', String(era));
    if (fault.kind === 'slow') await sleep(fault.delayMs);
    if (url.pathname === '/-/log-append') await handleAppend(url.searchParams, req, res);
    else if (url.pathname === '/-/log-read') await handleLogRead(url.searchParams, res);
    else if (url.pathname === '/-/log-newest') handleLatestRead(url.searchParams, res);
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
    append: (topic, key, value) => {
      append(topic, key, Buffer.from(value ?? ''));
    },
    readLatest: (topic, key) => getTopic(topic).latestByKey.get(key)?.value.toString('utf8'),
    setFault: (next) => {
      fault = next;
    },
    takeCopy: () => new Map([...topics].map(([name, { records }]) => [name, [...records]])),
    restore: (copy) => {
      era += 1;
      topics.forEach((topic, name) => {
        reset(topic);
        (copy.get(name) ?? []).forEach(({ key, value }) => append(name, key, value));
      });
    },
    dropHistory: (name) => {
      const topic = getTopic(name);
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

async function waitForAppend(topic: Topic, waitMs: Millis): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(wake, waitMs);
    function wake(): void {
      clearTimeout(timer);
      topic.waitingReaders.delete(wake);
      resolve();
    }
    topic.waitingReaders.add(wake);
  });
}

function sendJson(res: ServerResponse, value: unknown, status = 200): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}

function encodeRecord({ key, value }: StoredRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(LENGTH_BYTES + 1);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, LENGTH_BYTES);
  return Buffer.concat([header, keyBytes, value]);
}

interface DecodedRecord {
  readonly key: string;
  readonly value: Buffer;
}

function decodeRecords(body: Buffer): readonly DecodedRecord[] {
  const records: DecodedRecord[] = [];
  let position = 0;
  while (position + LENGTH_BYTES < body.length) {
    const end = position + LENGTH_BYTES + body.readUInt32BE(position);
    const keyEnd = position + LENGTH_BYTES + 1 + body.readUInt8(position + LENGTH_BYTES);
    const key = body.toString('utf8', position + LENGTH_BYTES + 1, keyEnd);
    records.push({ key, value: body.subarray(keyEnd, end) });
    position = end;
  }
  return records;
}
