/**
 * `npm run bench:configuration`: measures the configuration at the target size. Publishes a document
 * to several cores over a fake network and log, then edits it. Prints the time to parse and check the
 * document, the longest single event, the processor time, the simulated time until an edit is in
 * force on all instances, the bytes of peer messages, and memory. Option: `--edits N`.
 */
import { parseArgs } from 'node:util';
import { performance } from 'node:perf_hooks';
import { parseDocument, parseDocumentSteps } from '../../configuration/document.js';
import { runSteps } from '../../configuration/types.js';
import { assignNumbers, createView, NO_ASSIGNMENTS } from '../../configuration/view.js';
import { sha256Hex } from '../../core/sha256.js';
import type { CoreEvent, OperatorResult } from '../../core/types.js';
import { PeerMessage } from '../../protocol/generated/peer.js';
import { readRevision } from '../support/revision.js';
import { heapBytes } from '../support/timing.js';
import { createFakeFleet, type FakeFleet, type FakeInstance } from './fakeFleet.js';
import { writeLargeDocument } from './largeDocument.js';

const INSTANCES = 6;
const DOMAINS = 2;
const MIB = 2 ** 20;
const KEY_HASH = sha256Hex('bench');
const WAIT_MS = 60_000;

const { values } = parseArgs({ options: { edits: { type: 'string', default: '100' } } });

/** Longest event and total time of one part of the core, across all cores. */
interface EventTiming {
  longestMs: number;
  longestKind: string;
  totalMs: number;
}

const timing = { configuration: createTiming(), others: createTiming() };
const bytes = { configuration: 0 };

console.log(`revision ${readRevision()}`);
const source = writeLargeDocument({ teamKeyHash: KEY_HASH });
print('document', `${(source.length / MIB).toFixed(2)} MiB`);
measureParsing();
const fleet = createFakeFleet({
  instances: INSTANCES,
  domains: DOMAINS,
  seed: 6,
  onReduce: timeEvent,
  onMessage: (_from, _to, message) => {
    if (!message.$case.startsWith('configuration')) return;
    bytes.configuration += PeerMessage.encode({ body: message }).finish().length;
  },
});
fleet.run(2_000);
measureFirstDocument();
measureEdits(Number(values.edits));
measureEmptyStart();

function measureParsing(): void {
  const full = measureTime(() => parseDocument(source));
  const parsed = full.value;
  if (parsed.kind !== 'document') throw new Error(JSON.stringify(parsed.diagnostics[0]));
  print('parse and check, from scratch', `${full.ms.toFixed(0)} ms`);
  const changed = source.replace('slots: 32', 'slots: 31');
  const incremental = measureTime(() => runSteps(parseDocumentSteps(changed, parsed.document)));
  print('parse and check, one entry changed', `${incremental.ms.toFixed(1)} ms`);
  const numbers = assignNumbers(parsed.document, NO_ASSIGNMENTS);
  const view = measureTime(() => createView(parsed.document, numbers, 1));
  print('build the view', `${view.ms.toFixed(1)} ms`);
}

function measureFirstDocument(): void {
  const before = heapBytes();
  const elapsedMs = publish('first', 'document', source);
  print('first document, in force everywhere', `${elapsedMs} ms simulated`);
  printTiming('first document');
  print('peer messages', `${(bytes.configuration / INSTANCES / MIB).toFixed(2)} MiB per instance`);
  const heap = (heapBytes() - before) / INSTANCES / MIB;
  print('heap', `${heap.toFixed(1)} MiB per instance`);
}

function measureEdits(edits: number): void {
  resetTiming();
  const times: number[] = [];
  const sections: readonly ((i: number) => readonly [string, string])[] = [
    (i) => ['plannedStops', `engine-${i}: { reason: maintenance }\n`],
    (i) => ['entitlements', replaceEntry('entitlements', `customer-${i}`, `{ pool-0: ${i + 2} }`)],
    (i) => ['fairness', `chargeStep: ${i + 10}\n`],
  ];
  for (let i = 0; i < edits; i += 1) {
    const [section, text] = (sections[i % sections.length] as (typeof sections)[number])(i);
    times.push(publish(`edit-${i}`, section, text));
  }
  times.sort((a, b) => a - b);
  const quantile = (q: number) => times[Math.min(times.length - 1, Math.floor(times.length * q))];
  const figures = `p50 ${quantile(0.5)} p99 ${quantile(0.99)} max ${quantile(1)} ms simulated`;
  print('edits, publish until in force everywhere', figures);
  printTiming(`${edits} edits`);
  const bytesPerEdit = bytes.configuration / edits / INSTANCES;
  print('peer messages', `${bytesPerEdit.toFixed(0)} bytes per edit and instance`);
}

function measureEmptyStart(): void {
  resetTiming();
  const instance = fleet.instances[INSTANCES - 1] as FakeInstance;
  const version = versionOf(fleet.instances[0] as FakeInstance);
  fleet.stop(instance);
  fleet.log.isDown = true;
  fleet.start(instance);
  const elapsedMs = fleet.runUntil(() => versionOf(instance) === version, WAIT_MS);
  print('empty instance in force, log down', `${elapsedMs} ms simulated`);
  printTiming('empty instance');
  print('peer messages', `${(bytes.configuration / MIB).toFixed(2)} MiB`);
}

/** Publishes an edit through one instance. Returns the simulated time until it is in force on all. */
function publish(editId: string, section: string, text: string): number {
  const results: OperatorResult[] = [];
  const instance = fleet.instances[1] as FakeInstance;
  const baseVersion = versionOf(instance);
  fleet.command(
    instance,
    { kind: 'publish', editId, section, baseVersion, text, author: 'bench', keyHash: KEY_HASH },
    (result) => results.push(result),
  );
  const isInForce = () =>
    results.length > 0 && fleet.instances.every((each) => versionOf(each) > baseVersion);
  const elapsedMs = fleet.runUntil(isInForce, WAIT_MS);
  if (results[0]?.kind !== 'done' || elapsedMs === undefined) {
    throw new Error(JSON.stringify(results[0]).slice(0, 1_000));
  }
  return elapsedMs;
}

function replaceEntry(section: string, key: string, value: string): string {
  const { fold } = (fleet.instances[1] as FakeInstance).core.state.configuration;
  const entries = fold.document[section as 'entitlements'];
  return [...entries.values()]
    .map((entry) => (entry.key === key ? `${key}: ${value}\n` : entry.text))
    .join('');
}

function versionOf(instance: FakeFleet['instances'][number]): number {
  return instance.core.state.configuration.view?.version ?? -1;
}

function timeEvent(_instance: FakeInstance, event: CoreEvent, run: () => void): void {
  const { ms } = measureTime(run);
  const kind = describeEvent(event);
  const part = isConfigurationEvent(event) ? timing.configuration : timing.others;
  part.totalMs += ms;
  if (ms <= part.longestMs) return;
  part.longestMs = ms;
  part.longestKind = kind;
}

function createTiming(): EventTiming {
  return { longestMs: 0, longestKind: '', totalMs: 0 };
}

/** Whether the configuration handles the event. Other events are at most a consequence of these. */
function isConfigurationEvent(event: CoreEvent): boolean {
  switch (event.kind) {
    case 'timer':
      return event.timer === 'apply' || event.timer === 'configuration';
    case 'peerMessage':
      return event.message.$case.startsWith('configuration');
    case 'logRead':
    case 'appendSettled':
      return event.stream.startsWith('configuration');
    default:
      return event.kind === 'operatorCommand';
  }
}

function describeEvent(event: CoreEvent): string {
  if (event.kind === 'timer') return `timer ${event.timer}`;
  if (event.kind === 'peerMessage') return `message ${event.message.$case}`;
  return event.kind === 'operatorCommand' ? `command ${event.command.kind}` : event.kind;
}

function measureTime<T>(action: () => T): { readonly value: T; readonly ms: number } {
  const start = performance.now();
  const value = action();
  return { value, ms: performance.now() - start };
}

function resetTiming(): void {
  timing.configuration = createTiming();
  timing.others = createTiming();
  bytes.configuration = 0;
}

function printTiming(what: string): void {
  const { configuration, others } = timing;
  print(`${what}: longest event`, formatLongest(configuration));
  print(`${what}: longest event of other parts`, formatLongest(others));
  const total = configuration.totalMs / INSTANCES;
  print(`${what}: processor time`, `${total.toFixed(0)} ms per instance`);
}

function formatLongest(part: EventTiming): string {
  return `${part.longestMs.toFixed(1)} ms (${part.longestKind})`;
}

function print(name: string, figure: string): void {
  console.log(`${name.padEnd(46)}${figure}`);
}
