/**
 * Loads TLS certificates from files and reloads them on demand or when a file changes. If the new
 * certificate and key do not match, the current pair stays in use.
 */
import { readFile, stat } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';
import type { Millis } from '../core/clock.js';

/** Paths of the PEM files of a certificate. */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
  /** Certificates of the authorities that may sign the other side's certificate. */
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
  /** Reloads the files; resolves to whether a valid pair was loaded. */
  readonly reload: () => Promise<boolean>;
  readonly close: () => void;
}

export interface CertificateSourceOptions {
  readonly files: CertificateFiles;
  /** Interval between checks of the files for changes. */
  readonly checkIntervalMs?: Millis;
  readonly onError?: (err: Error) => void;
}

const DEFAULT_CHECK_INTERVAL_MS = 10_000;

/** Loads the files. Rejects if they cannot be read or if the key does not match. */
export async function createCertificateSource(
  options: CertificateSourceOptions,
): Promise<CertificateSource> {
  const { files } = options;
  const listeners: ((pair: CertificatePair) => void)[] = [];
  let fileStamps = await readFileStamps(files);
  let pair = await loadPair(files);

  async function reload(): Promise<boolean> {
    try {
      fileStamps = await readFileStamps(files);
      pair = await loadPair(files);
    } catch (err) {
      options.onError?.(err as Error);
      return false;
    }
    listeners.forEach((listener) => listener(pair));
    return true;
  }

  async function checkFiles(): Promise<void> {
    try {
      if ((await readFileStamps(files)) !== fileStamps) await reload();
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

function listPaths(files: CertificateFiles): readonly string[] {
  const { certificate, key, authorities } = files;
  return authorities === undefined ? [certificate, key] : [certificate, key, authorities];
}

async function readFileStamps(files: CertificateFiles): Promise<string> {
  const stats = await Promise.all(listPaths(files).map(async (name) => stat(name)));
  return stats.map(({ mtimeMs, size, ino }) => `${mtimeMs}:${size}:${ino}`).join(' ');
}

async function loadPair(files: CertificateFiles): Promise<CertificatePair> {
  const [cert, key, ca] = await Promise.all(listPaths(files).map(async (name) => readFile(name)));
  if (cert === undefined || key === undefined)
    throw new Error('A certificate file and a private key file are required.');
  const pair = { cert, key, ...(ca === undefined ? {} : { ca }) };
  // Throws if the private key does not match the certificate.
  createSecureContext(pair);
  return pair;
}
