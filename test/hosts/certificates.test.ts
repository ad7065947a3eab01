import { copyFile, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { connect } from 'node:tls';
import { expect } from 'chai';
import { Agent, request } from 'undici';
import { createCallerHost } from '../../src/hosts/callerHost.js';
import { createCertificateSource } from '../../src/hosts/certificates.js';

const FIXTURES = join('test', 'fixtures', 'tls');

async function waitUntil(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await sleep(5);
  await waitUntil(condition);
}

describe('certificates', () => {
  let dir: string;
  const errors: Error[] = [];
  beforeEach(async () => {
    dir = await mkdtemp(join(tmpdir(), 'primroseswitch-'));
    errors.splice(0);
  });
  afterEach(async () => rm(dir, { recursive: true }));

  const installCertificate = async (name: string) => {
    await copyFile(join(FIXTURES, `${name}.crt`), join(dir, 'crt'));
    await copyFile(join(FIXTURES, `${name}.key`), join(dir, 'key'));
  };

  const open = async () =>
    createCertificateSource({
      files: { certificate: join(dir, 'crt'), key: join(dir, 'key') },
      checkIntervalMs: 10,
      onError: (err) => errors.push(err),
    });

  it('are used to serve callers over TLS and are replaced without a restart', async () => {
    await installCertificate('a');
    const certificates = await open();
    const host = createCallerHost({
      self: { id: 'a', incarnation: 1 },
      post: () => {},
      host: '127.0.0.1',
      port: 0,
      certificates,
    });
    const [ip = '', port] = (await host.listen()).split(':');
    const ca = await readFile(join(FIXTURES, 'ca.crt'));
    const dispatcher = new Agent({ connect: { ca } });
    const { statusCode, body } = await request(`https://${ip}:${port}/`, { dispatcher });
    await body.dump();
    expect(statusCode).to.equal(404);

    const readServedName = async () =>
      new Promise<unknown>((resolve, reject) => {
        const socket = connect({ host: ip, port: Number(port), rejectUnauthorized: false }, () => {
          resolve(socket.getPeerCertificate().subject.CN);
          socket.destroy();
        });
        socket.once('error', reject);
      });
    expect(await readServedName()).to.equal('a');
    await installCertificate('b');
    expect(await certificates.reload()).to.equal(true);
    expect(await readServedName()).to.equal('b');
    await dispatcher.close();
    await host.kill();
    certificates.close();
  });

  it('stay in use when the new files do not match or are invalid', async () => {
    await installCertificate('a');
    const certificates = await open();
    const before = certificates.current();
    await copyFile(join(FIXTURES, 'b.crt'), join(dir, 'crt'));
    await waitUntil(() => errors.length > 0);
    expect(certificates.current()).to.equal(before);
    await writeFile(join(dir, 'key'), 'no key');
    expect(await certificates.reload()).to.equal(false);
    expect(certificates.current()).to.equal(before);
    certificates.close();
  });

  it('are rejected at startup when they cannot be read', async () => {
    const outcome = await open().then(
      () => 'opened',
      (err: NodeJS.ErrnoException) => err.code,
    );
    expect(outcome).to.equal('ENOENT');
  });
});
