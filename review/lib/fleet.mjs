/**
 * Starts instances as separate processes with the command of deploy/system.toml, each on a loopback
 * address of its own, with settings that are rendered from platform/settings.yaml.template as
 * DEPLOY.md says, and the bounds of lsvpt-rota.
 */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { listen, sleep } from './net.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const ZONES = { 'dieng-a': 'dieng', 'bromo-a': 'bromo', 'lawu-a': 'lawu' };
const BOUNDS = {
  ContactMs: 4000,
  DrainMs: 2500,
  GraceS: 8,
  ConfigApplyMs: 2500,
  RevokeMs: 5000,
  RetryRatio: 0.2,
  RetryWindowS: 10,
  RetrySlack: 58,
};
const READY_WITHIN_MS = 15_000;

/** The words of the command of role `router` in the deploy file. */
async function deployCommand() {
  const text = await readFile(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

async function templateText() {
  const text = await readFile(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return readFile(join(ROOT, /^template = "(.*)"$/m.exec(text)[1]), 'utf8');
}

/** Renders values and sections over tables, which is what the template uses. */
function render(template, values) {
  const lookUp = (path) => path.split('.').reduce((value, key) => value?.[key], values);
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, path, body) =>
      Object.entries(lookUp(path) ?? {})
        .map(([key, value]) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', String(value)))
        .join(''),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(lookUp(path) ?? ''));
}

async function freePort(host) {
  const server = createServer();
  const port = await listen(server, host);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

async function isReady({ host, port }) {
  return new Promise((resolve) => {
    const req = request({ host, port, path: '/-/readyz', timeout: 500, agent: false }, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.once('error', () => resolve(false));
    req.once('timeout', () => req.destroy());
    req.end();
  });
}

export async function createFleet({ store, names, record }) {
  const folder = await mkdtemp(join(tmpdir(), 'primroseswitch-review-'));
  const template = await templateText();
  const [program, ...words] = await deployCommand();
  const ports = await Promise.all(['a', 'b', 'c', 'd'].map(async () => freePort('127.0.0.1')));
  const [front, ready, peers, operators] = ports;
  const instances = names.map(({ name, zone }, i) => {
    const ip = `127.0.1.${i + 1}`;
    const settingsFile = join(folder, `${name}.yaml`);
    const text = render(template, {
      NodeName: name,
      Zone: zone,
      Region: ZONES[zone],
      Zones: ZONES,
      Ip: ip,
      Listen: { Front: `${ip}:${front}`, Ready: `${ip}:${ready}` },
      PortRange: { 0: peers, 1: operators },
      Provider: { Address: store.address },
      HeartbeatMs: 1200,
      Bounds: BOUNDS,
    });
    const written = writeFile(settingsFile, text);
    return {
      name,
      zone,
      ip,
      settingsFile,
      written,
      front: { host: ip, port: front },
      ready: { host: ip, port: ready },
    };
  });

  await Promise.all(instances.map(async ({ written }) => written));

  /** Starts a process of an instance. */
  function start(instance) {
    const args = words.map((word) => (word.startsWith('/etc/') ? instance.settingsFile : word));
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: folder, PRIMROSESWITCH_SETTINGS: instance.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${instance.name}.log`), { flags: 'a' });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    const exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        record({ what: 'process ended', instance: instance.name, code, signal });
        resolve({ code, signal });
      });
    });
    record({ what: 'process started', instance: instance.name });
    Object.assign(instance, { child, exited });
    return instance;
  }

  async function untilReady(instance) {
    const until = Date.now() + READY_WITHIN_MS;
    while (Date.now() < until) {
      // eslint-disable-next-line no-await-in-loop -- polls
      if (await isReady(instance.ready)) return;
      // eslint-disable-next-line no-await-in-loop -- polls
      await sleep(50);
    }
    throw new Error(`${instance.name} did not become ready`);
  }

  return {
    instances,
    start,
    untilReady,
    isReady: async (instance) => isReady(instance.ready),
    logOf: async (instance) =>
      readFile(join(folder, `${instance.name}.log`), 'utf8').catch(() => ''),
    close: async () => {
      await Promise.all(
        instances.map(async ({ child, exited }) => {
          if (child === undefined) return;
          if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
          await exited;
        }),
      );
      await rm(folder, { recursive: true, force: true });
    },
  };
}
