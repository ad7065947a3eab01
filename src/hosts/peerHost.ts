/**
 * Links to the other instances over gRPC. Each instance opens one stream to every instance that it
 * sends to and accepts the streams of the others, with mutual TLS if certificates are given.
 */
import {
  ChannelCredentials,
  experimental,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import type { InstanceId, InstanceIdentity, PeerMessage } from '../core/types.js';
import { decodeBatch, encodeBatch, type PeerBatch } from '../protocol/codec.js';
import { PeerService } from '../protocol/generated/peerService.js';
import type { CertificateSource } from './certificates.js';
import {
  createPeerLink,
  DEFAULT_PEER_LINK_LIMITS,
  type PeerLink,
  type PeerLinkLimits,
} from './peerLink.js';
import type { ControlBytes, PeerHost, Post } from './types.js';

/** Network distance that a link covers. */
export type LinkClass = keyof ControlBytes;

export interface PeerHostOptions {
  readonly self: Pick<InstanceIdentity, 'id' | 'incarnation'>;
  readonly post: Post;
  readonly host: string;
  readonly port: number;
  /** Determines the network distance of the link to an instance. */
  readonly classifyLink: (to: InstanceId) => LinkClass;
  readonly onLost?: (to: InstanceId, reason: string) => void;
  /** Without certificates, links are neither encrypted nor authenticated. */
  readonly certificates?: CertificateSource | undefined;
  readonly limits?: Partial<PeerLinkLimits>;
}

type IncomingStream = ServerDuplexStream<PeerBatch, PeerBatch>;

/** Maximum size of a received batch. */
const MAX_BATCH_BYTES = 32 * 1024 * 1024;

/** Creates the host without starting to listen. */
export function createPeerHost(options: PeerHostOptions): PeerHost {
  const { self, post, certificates } = options;
  const limits = { ...DEFAULT_PEER_LINK_LIMITS, ...options.limits };
  const links = new Map<InstanceId, PeerLink>();
  const sentBytes = { sameDomain: 0, sameRegion: 0, crossRegion: 0 };
  const server = new Server({ 'grpc.max_receive_message_length': MAX_BATCH_BYTES });

  const createBatch = (messages: readonly PeerMessage[]): PeerBatch => ({
    sender: { id: self.id, incarnation: self.incarnation },
    messages,
  });

  function handleStream(stream: IncomingStream): void {
    stream.on('data', (batch: PeerBatch) => {
      const { sender } = batch;
      batch.messages.forEach((message) => {
        if (message.$case === 'ping') {
          stream.write(createBatch([{ $case: 'pong', value: message.value }]));
          return;
        }
        post({ kind: 'peerMessage', from: sender.id, incarnation: sender.incarnation, message });
      });
    });
    stream.on('end', () => stream.end());
    stream.on('error', () => stream.destroy());
  }

  server.addService(
    {
      exchange: {
        ...PeerService.exchange,
        requestDeserialize: decodeBatch,
        responseSerialize: (batch: PeerBatch) => Buffer.from(encodeBatch(batch)),
      },
    },
    { exchange: handleStream },
  );

  function openLink(to: InstanceId, address: string): PeerLink {
    const link = createPeerLink({
      address,
      limits,
      createCredentials: () => createClientCredentials(certificates),
      createBatch,
      onBytesSent: (count) => {
        sentBytes[options.classifyLink(to)] += count;
      },
      onLost: (reason) => {
        options.onLost?.(to, reason);
        post({ kind: 'peerUnreachable', to });
      },
    });
    links.set(to, link);
    return link;
  }

  function closeLink(to: InstanceId): void {
    links.get(to)?.close();
    links.delete(to);
  }

  return {
    listen: async () => {
      const port = await new Promise<number>((resolve, reject) => {
        const target = `${options.host}:${options.port}`;
        server.bindAsync(target, createServerCredentials(certificates), (err, bound) => {
          if (err === null) resolve(bound);
          else reject(err);
        });
      });
      return `${options.host}:${port}`;
    },
    send: (to, address, message) => {
      if (links.get(to)?.address !== address) closeLink(to);
      const link = links.get(to) ?? openLink(to, address);
      link.send(message);
    },
    closeLink,
    controlBytes: () => ({ ...sentBytes }),
    close: async () => {
      links.forEach((link) => link.close());
      links.clear();
      server.forceShutdown();
      return Promise.resolve();
    },
  };
}

/**
 * Creates client credentials. The other side is verified by its certificate authority and not by a
 * host name, because instances have IP addresses only.
 */
function createClientCredentials(certificates: CertificateSource | undefined): ChannelCredentials {
  if (certificates === undefined) return ChannelCredentials.createInsecure();
  const { ca, key, cert } = certificates.current();
  return ChannelCredentials.createSsl(ca ?? null, key, cert, {
    checkServerIdentity: () => undefined,
  });
}

/**
 * Creates server credentials that are updated when the certificates change. Clients without a valid
 * certificate are rejected.
 */
function createServerCredentials(certificates: CertificateSource | undefined): ServerCredentials {
  if (certificates === undefined) return ServerCredentials.createInsecure();
  const provider = createCertificateProvider(certificates);
  return experimental.createCertificateProviderServerCredentials(provider, provider, true);
}

/**
 * Creates a certificate provider. A new listener is called in a microtask, because the server is
 * not ready to handle the call while it registers the listener.
 */
function createCertificateProvider(
  certificates: CertificateSource,
): experimental.CertificateProvider {
  const caListeners = new Set<experimental.CaCertificateUpdateListener>();
  const identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();
  const notifyCaListener = (listener: experimental.CaCertificateUpdateListener) => {
    const { ca } = certificates.current();
    listener(ca === undefined ? null : { caCertificate: ca });
  };
  const notifyIdentityListener = (listener: experimental.IdentityCertificateUpdateListener) => {
    const { cert, key } = certificates.current();
    listener({ certificate: cert, privateKey: key });
  };
  certificates.onChange(() => {
    caListeners.forEach(notifyCaListener);
    identityListeners.forEach(notifyIdentityListener);
  });
  return {
    addCaCertificateListener: (listener) => {
      caListeners.add(listener);
      queueMicrotask(() => notifyCaListener(listener));
    },
    removeCaCertificateListener: (listener) => caListeners.delete(listener),
    addIdentityCertificateListener: (listener) => {
      identityListeners.add(listener);
      queueMicrotask(() => notifyIdentityListener(listener));
    },
    removeIdentityCertificateListener: (listener) => identityListeners.delete(listener),
  };
}
