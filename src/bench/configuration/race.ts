/**
 * `npm run bench:race`: four teams concurrently edit the same sections through seven instances with
 * real links and the platform stand-in, during log outages, lost replies and restarts. Prints the
 * time until an accepted edit is in force on all instances (once from sending it, once from receiving
 * the reply), the numbers of accepted, refused and unsettled edits, the control bytes per link class,
 * and whether all instances agree. Options: `--edits N`, `--seed N`. The exit code is 1 if the version
 * of an instance decreased or instances disagree.
 */
import { parseArgs } from 'node:util';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { SECTION_NAMES } from '../../configuration/types.js';
import { createRandom } from '../../core/random.js';
import { sha256Hex } from '../../core/sha256.js';
import type { OperatorCommand } from '../../core/types.js';
import { createInstance, type Instance } from '../../daemon/instance.js';
import { createPlatformStandin } from '../../standins/index.js';
import type { PlatformFault } from '../../standins/faults.js';
import { readRevision } from '../support/revision.js';

const DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
const INSTANCES = 7;
const TEAMS = 4;
const SETTLE_MS = 8_000;
const IN_FORCE_TARGET_MS = 4_000;
/** Number of edits between two faults. */
const FAULT_EVERY = 50;
const FAULT_MS = 1_500;
const OUTAGE: PlatformFault = { kind: 'outage', parts: ['log'] };
const LOST_REPLIES: PlatformFault = { kind: 'lost-reply', rate: 0.5 };

const { values } = parseArgs({
  options: { edits: { type: 'string', default: '1000' }, seed: { type: 'string', default: '1' } },
});
const edits = Number(values.edits);
const random = createRandom(Number(values.seed));
const keyOf = (team: number) => `team-key-${team}`;

interface Node {
  readonly id: string;
  readonly domain: string;
  instance: Instance;
  operators: string;
  maxVersion: number;
  isUp: boolean;
}

const platform = await createPlatformStandin();
const nodes: Node[] = [];
const counts = { accepted: 0, refused: 0, unsettled: 0, versionDecreases: 0 };
const timesSinceSending: number[] = [];
const timesSinceReply: number[] = [];
let faults = 0;

await run();

async function run(): Promise<void> {
  console.log(`revision ${readRevision()}`);
  for (let i = 0; i < INSTANCES; i += 1) {
    const node = { id: `instance-${i}`, domain: DOMAINS[i % DOMAINS.length] as string };
    nodes.push({ ...node, ...(await start(node.id, node.domain)), maxVersion: -1, isUp: true });
  }
  publishInstanceList();
  const watchTimer = setInterval(watchVersions, 1);
  await delay(3_000);
  await publish(0, nodes[0] as Node, 'first', 'document', -1, createFirstDocument());
  await waitUntilInForce(0, SETTLE_MS);
  let next = 0;
  const editor = async (team: number) => {
    while (next < edits) {
      next += 1;
      await editOnce(team, next);
    }
  };
  await Promise.all([
    ...Array.from({ length: TEAMS }, async (_, team) => editor(team)),
    injectFaults(() => next),
  ]);
  await delay(SETTLE_MS);
  clearInterval(watchTimer);
  printReport();
  await Promise.all(nodes.map(async ({ instance }) => instance.kill()));
  await platform.stop();
}

async function start(id: string, domain: string) {
  const instance = createInstance({
    id,
    domain,
    region: `region-of-${domain}`,
    platformUrl: platform.url,
    log: { threshold: 'error', writeLine: () => undefined },
    settings: { checkpointMs: 5_000 },
  });
  const { operators, peers } = await instance.start();
  return { instance, operators, peers };
}

function publishInstanceList(): void {
  platform.setInstances(
    nodes
      .filter(({ isUp }) => isUp)
      .map((node) => ({
        id: node.id,
        address: node.instance.core().state.self.address,
        domain: node.domain,
        region: `region-of-${node.domain}`,
        state: 'live',
      })),
  );
}

function createFirstDocument(): string {
  const teams = Array.from({ length: TEAMS }, (_, team) => {
    const hash = sha256Hex(keyOf(team));
    return `  team-${team}: { keyHashes: [${hash}], sections: [${SECTION_NAMES.join(', ')}] }`;
  });
  const upstreams = Array.from({ length: 20 }, (_, i) => {
    const place = `domain: ${DOMAINS[i % DOMAINS.length]}, region: r`;
    return `  engine-${i}: { pool: chat, url: 'http://127.0.0.1:${i + 1}', ${place}, reportsLoad: false }`;
  });
  return [
    'teams:',
    ...teams,
    'pools:',
    '  chat: { kind: model }',
    'upstreams:',
    ...upstreams,
    '',
  ].join('\n');
}

/** Makes one edit for a team. Half of the edits go to the `fairness` section, for which all compete. */
async function editOnce(team: number, number: number): Promise<void> {
  const up = nodes.filter(({ isUp }) => isUp);
  const node = up[random.nextInt(up.length)] as Node;
  const base = versionOf(node);
  const isRace = random.next() < 0.5;
  const section = isRace ? 'fairness' : 'plannedStops';
  const text = isRace
    ? `chargeStep: ${number + 1}\n`
    : `engine-${number % 20}: { reason: edit ${number} }\n`;
  const sentAt = performance.now();
  const reply = await publish(team, node, `edit-${number}`, section, base, text);
  const repliedAt = performance.now();
  if (reply === 'refused') counts.refused += 1;
  if (reply === 'unsettled') counts.unsettled += 1;
  if (typeof reply !== 'number') return;
  counts.accepted += 1;
  const isEverywhere = await waitUntilInForce(reply, SETTLE_MS);
  if (!isEverywhere) return;
  timesSinceSending.push(performance.now() - sentAt);
  timesSinceReply.push(performance.now() - repliedAt);
}

/** Sends an edit, up to three times with the same ID. Returns its version if it was accepted. */
async function publish(
  team: number,
  node: Node,
  editId: string,
  section: string,
  baseVersion: number,
  text: string,
): Promise<number | 'refused' | 'unsettled'> {
  const command: Omit<Extract<OperatorCommand, { kind: 'publish' }>, 'keyHash'> = {
    kind: 'publish',
    editId,
    section,
    baseVersion,
    text,
    author: `editor-${team}`,
  };
  for (let attempt = 0; attempt < 3; attempt += 1) {
    const target = node.isUp ? node : (nodes.find(({ isUp }) => isUp) as Node);
    try {
      const { statusCode, body } = await request(`http://${target.operators}/commands`, {
        method: 'POST',
        headers: { authorization: `Bearer ${keyOf(team)}` },
        body: JSON.stringify(command),
      });
      const answer = (await body.json()) as { version?: number; executed?: string };
      if (statusCode === 200 && answer.version !== undefined) return answer.version;
      if (answer.executed === 'no' && statusCode !== 503) return 'refused';
    } catch {
      // The instance was restarted. Another instance knows whether the edit was accepted.
    }
    await delay(300);
  }
  return 'unsettled';
}

/** Waits until a version is in force on all running instances. */
async function waitUntilInForce(version: number, limitMs: number): Promise<boolean> {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (nodes.every((node) => !node.isUp || versionOf(node) >= version)) return true;
    await delay(1);
  }
  return false;
}

/** Injects log outages, lost replies and restarts in turn while edits are made. */
async function injectFaults(progress: () => number): Promise<void> {
  while (progress() < edits) {
    const at = progress() + FAULT_EVERY;
    while (progress() < Math.min(at, edits)) await delay(20);
    faults += 1;
    const kind = faults % 3;
    if (kind === 0) await restart(nodes[random.nextInt(nodes.length)] as Node);
    else await applyPlatformFault(kind === 1 ? OUTAGE : LOST_REPLIES);
  }
}

async function applyPlatformFault(fault: PlatformFault): Promise<void> {
  platform.setFault(fault);
  await delay(FAULT_MS);
  platform.setFault({ kind: 'clear' });
}

async function restart(node: Node): Promise<void> {
  node.isUp = false;
  await node.instance.kill();
  node.maxVersion = -1;
  Object.assign(node, await start(node.id, node.domain));
  publishInstanceList();
  const until = performance.now() + SETTLE_MS;
  while (versionOf(node) < 0 && performance.now() < until) await delay(5);
  node.isUp = true;
}

function versionOf(node: Node): number {
  return node.instance.core().state.configuration.view?.version ?? -1;
}

function watchVersions(): void {
  nodes
    .filter(({ isUp }) => isUp)
    .forEach((node) => {
      const version = versionOf(node);
      if (version < node.maxVersion) counts.versionDecreases += 1;
      node.maxVersion = Math.max(node.maxVersion, version);
    });
}

function printReport(): void {
  const folds = nodes.map(({ instance }) => {
    const { fold } = instance.core().state.configuration;
    const stops = [...fold.document.plannedStops.values()].map(({ text }) => text);
    const fairness = [...fold.document.fairness.values()].map(({ text }) => text);
    return JSON.stringify([fold.version, stops, fairness]);
  });
  const agree = new Set(folds).size === 1;
  const { accepted, refused, unsettled, versionDecreases } = counts;
  console.log(`${edits} edits, ${accepted} accepted, ${refused} refused, ${unsettled} unsettled`);
  console.log(`${faults} faults: log outages of 1.5 s, lost replies from the log, restarts`);
  console.log(`time from sending until in force everywhere: ${formatQuantiles(timesSinceSending)}`);
  console.log(`time from the reply until in force everywhere: ${formatQuantiles(timesSinceReply)}`);
  const late = timesSinceSending.filter((ms) => ms > IN_FORCE_TARGET_MS).length;
  console.log(
    `not seen in force within ${SETTLE_MS} ms: ${accepted - timesSinceSending.length}; above the target: ${late}`,
  );
  const bytes = nodes.map(({ instance }) => instance.controlBytes());
  const sum = (name: 'sameDomain' | 'sameRegion' | 'crossRegion') =>
    bytes.reduce((total, each) => total + each[name], 0);
  console.log(
    `control bytes since the last restarts: ${sum('sameDomain')} same domain, ${sum('sameRegion')} same region, ${sum('crossRegion')} cross-region`,
  );
  console.log(`version decreases: ${versionDecreases}; all instances agree: ${agree}`);
  if (!agree || versionDecreases > 0) process.exitCode = 1;
}

function formatQuantiles(times: readonly number[]): string {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (q: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? NaN;
  return `p50 ${at(0.5).toFixed(0)} p99 ${at(0.99).toFixed(0)} max ${at(1).toFixed(0)} ms`;
}
