/** Runs an instance with the given settings until it is stopped. */
import { resolve } from 'node:path';
import { parseAddress } from '../hosts/address.js';
import type { Settings } from '../configuration/settings.js';
import { formatDiagnostic } from '../core/diagnostics.js';
import type { ConfigurationView } from '../core/types.js';
import {
  createCertificateSource,
  type CertificateFiles,
  type CertificateSource,
} from '../hosts/certificates.js';
import { createInstance, type Instance, type InstanceAddresses } from './instance.js';

export interface ServeOptions {
  readonly settings: Settings;
  /** Directory against which file names in the settings are resolved. */
  readonly baseDir: string;
  /** Active configuration until a newer one is read from the log. */
  readonly initialConfiguration?: ConfigurationView | undefined;
  readonly writeLine?: (line: string) => void;
}

export interface Daemon {
  readonly instance: Instance;
  readonly addresses: InstanceAddresses;
  /** Reloads the certificates. */
  readonly reload: () => void;
  readonly stop: () => Promise<void>;
}

/** Starts an instance. Rejects if a certificate cannot be read or a port is in use. */
export async function startDaemon(options: ServeOptions): Promise<Daemon> {
  const { settings } = options;
  const writeLine = options.writeLine ?? ((line) => process.stderr.write(`${line}\n`));
  const { tls, limits } = settings;

  const openCertificateSource = async (
    files: CertificateFiles | undefined,
  ): Promise<CertificateSource | undefined> =>
    files &&
    createCertificateSource({
      files: resolveFiles(options.baseDir, files),
      ...(tls === undefined ? {} : { checkIntervalMs: tls.checkInterval }),
      onError: (err) => {
        writeLine(formatDiagnostic('certificateUnreadable', { reason: err.message }));
      },
    });

  const callerCertificates = await openCertificateSource(tls?.callers);
  const peerCertificates = await openCertificateSource(tls?.peers);
  const certificateSources = [callerCertificates, peerCertificates];
  const instance = createInstance({
    ...settings.instance,
    callers: parseAddress(settings.listen.callers),
    peers: parseAddress(settings.listen.peers),
    operators: parseAddress(settings.listen.operators),
    advertisedAddress: settings.advertise,
    platformUrl: settings.platform?.url,
    ...(limits.body === undefined ? {} : { maxBodyBytes: limits.body }),
    limits: {
      ...(limits.headers === undefined ? {} : { maxHeaderBytes: limits.headers }),
      ...(limits.headersTimeout === undefined ? {} : { headersTimeoutMs: limits.headersTimeout }),
      ...(limits.requestTimeout === undefined ? {} : { requestTimeoutMs: limits.requestTimeout }),
      ...(limits.connections === undefined ? {} : { maxConnections: limits.connections }),
    },
    callerCertificates,
    peerCertificates,
    log: { threshold: settings.log.level, format: settings.log.form, writeLine },
    metricsAddress: settings.metrics?.address,
    settings: settings.core,
    initialConfiguration: options.initialConfiguration,
  });
  const addresses = await instance.start();
  return {
    instance,
    addresses,
    reload: () => {
      certificateSources.forEach((source) => {
        void source?.reload();
      });
    },
    stop: async () => {
      await instance.stop();
      certificateSources.forEach((source) => source?.close());
    },
  };
}

function resolveFiles(baseDir: string, files: CertificateFiles): CertificateFiles {
  const { certificate, key, authorities } = files;
  return {
    certificate: resolve(baseDir, certificate),
    key: resolve(baseDir, key),
    authorities: authorities === undefined ? undefined : resolve(baseDir, authorities),
  };
}
