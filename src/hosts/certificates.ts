/**
 * Certificates from files. They are read again when a file changes or on demand; a pair that does
 * not fit leaves the one in use in force.
 */
import { readFile, stat } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';
import type { Millis } from '../core/clock.js';

/** Files of a certificate, as PEM. */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
  /** Certificates of the authorities that sign the other side's certificate. */
  readonly authorities?: string | undefined;
}

export interface CertificatePair {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
}

export interface CertificateSource {
  readonly current: () => CertificatePair;
  readonly onChange: (listener: (pair: CertificatePair) => void) => void;
  /** Reads the files again; resolves to whether a valid pair was read. */
  readonly reload: () => Promise<boolean>;
  readonly close: () => void;
}

export interface CertificateSourceOptions {
  readonly files: CertificateFiles;
  /** Interval at which the files are checked for changes. */
  readonly checkIntervalMs?: Millis;
  readonly onError?: (err: Error) => void;
}

const DEFAULT_CHECK_INTERVAL_MS = 10_000;

/** Reads the files. Rejects if they cannot be read or do not fit together. */
export async function createCertificateSource(
  options: CertificateSourceOptions,
): Promise<CertificateSource> {
  const { files } = options;
  const listeners: ((pair: CertificatePair) => void)[] = [];
  let stamp = await stampOf(files);
  let pair = await readPair(files);

  async function reload(): Promise<boolean> {
    try {
      stamp = await stampOf(files);
      pair = await readPair(files);
    } catch (err) {
      options.onError?.(err as Error);
      return false;
    }
    listeners.forEach((listener) => listener(pair));
    return true;
  }

  async function checkFiles(): Promise<void> {
    try {
      if ((await stampOf(files)) !== stamp) await reload();
    } catch (err) {
      options.onError?.(err as Error);
    }
  }

  const timer = setInterval(() => {
    void checkFiles();
  }, options.checkIntervalMs ?? DEFAULT_CHECK_INTERVAL_MS);
  timer.unref();
  return {
    current: () => pair,
    onChange: (listener) => listeners.push(listener),
    reload,
    close: () => clearInterval(timer),
  };
}

function namesOf(files: CertificateFiles): readonly string[] {
  const { certificate, key, authorities } = files;
  return authorities === undefined ? [certificate, key] : [certificate, key, authorities];
}

async function stampOf(files: CertificateFiles): Promise<string> {
  const stats = await Promise.all(namesOf(files).map(async (name) => stat(name)));
  return stats.map(({ mtimeMs, size, ino }) => `${mtimeMs}:${size}:${ino}`).join(' ');
}

async function readPair(files: CertificateFiles): Promise<CertificatePair> {
  const [cert, key, ca] = await Promise.all(namesOf(files).map(async (name) => readFile(name)));
  if (cert === undefined || key === undefined) throw new Error('A certificate needs two files.');
  const pair = { cert, key, ...(ca === undefined ? {} : { ca }) };
  // Throws if the key does not belong to the certificate.
  createSecureContext(pair);
  return pair;
}
