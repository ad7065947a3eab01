/**
 * Links to the other instances by gRPC. Each instance opens one stream to each instance that it
 * sends to and takes the streams of the others; over mutual TLS if certificates are given.
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
import { PeerService } from '../protocol/generated/peer.js';
import type { CertificateSource } from './certificates.js';
import {
  createPeerLink,
  DEFAULT_PEER_LINK_LIMITS,
  type PeerLink,
  type PeerLinkLimits,
} from './peerLink.js';
import type { ControlBytes, PeerHost, Post } from './types.js';

/** How far a link reaches. */
export type LinkClass = keyof ControlBytes;

export interface PeerHostOptions {
  readonly self: Pick<InstanceIdentity, 'id' | 'incarnation'>;
  readonly post: Post;
  readonly host: string;
  readonly port: number;
  /** Finds how far the link to an instance reaches. */
  readonly linkClassOf: (to: InstanceId) => LinkClass;
  readonly onLost?: (to: InstanceId, reason: string) => void;
  /** Without certificates links are neither encrypted nor authenticated. */
  readonly certificates?: CertificateSource | undefined;
  readonly limits?: Partial<PeerLinkLimits>;
}

type IncomingStream = ServerDuplexStream<PeerBatch, PeerBatch>;

/** Largest batch that is taken. */
const MAX_BATCH_BYTES = 32 * 1024 * 1024;

/** Creates the host; it does not listen yet. */
export function createPeerHost(options: PeerHostOptions): PeerHost {
  const { self, post, certificates } = options;
  const limits = { ...DEFAULT_PEER_LINK_LIMITS, ...options.limits };
  const links = new Map<InstanceId, PeerLink>();
  const bytes = { sameDomain: 0, sameRegion: 0, crossRegion: 0 };
  const server = new Server({ 'grpc.max_receive_message_length': MAX_BATCH_BYTES });

  const createBatch = (messages: readonly PeerMessage[]): PeerBatch => ({
    sender: { id: self.id, incarnation: self.incarnation },
    messages,
  });

  function takeStream(stream: IncomingStream): void {
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
    { exchange: takeStream },
  );

  function openLink(to: InstanceId, address: string): PeerLink {
    const link = createPeerLink({
      address,
      limits,
      createCredentials: () => clientCredentials(certificates),
      createBatch,
      onBytesSent: (count) => {
        bytes[options.linkClassOf(to)] += count;
      },
      onLost: (reason) => {
        options.onLost?.(to, reason);
        post({ kind: 'peerUnreachable', to });
      },
    });
    links.set(to, link);
    return link;
  }

  function drop(to: InstanceId): void {
    links.get(to)?.close();
    links.delete(to);
  }

  return {
    listen: async () => {
      const port = await new Promise<number>((resolve, reject) => {
        const target = `${options.host}:${options.port}`;
        server.bindAsync(target, serverCredentials(certificates), (err, bound) => {
          if (err === null) resolve(bound);
          else reject(err);
        });
      });
      return `${options.host}:${port}`;
    },
    send: (to, address, message) => {
      if (links.get(to)?.address !== address) drop(to);
      const link = links.get(to) ?? openLink(to, address);
      link.send(message);
    },
    drop,
    controlBytes: () => ({ ...bytes }),
    close: async () => {
      links.forEach((link) => link.close());
      links.clear();
      server.forceShutdown();
      return Promise.resolve();
    },
  };
}

/** The other side is known by its authority, not by a host name: instances have IP numbers only. */
function clientCredentials(certificates: CertificateSource | undefined): ChannelCredentials {
  if (certificates === undefined) return ChannelCredentials.createInsecure();
  const { ca, key, cert } = certificates.current();
  return ChannelCredentials.createSsl(ca ?? null, key, cert, {
    checkServerIdentity: () => undefined,
  });
}

/** Credentials that follow the certificates; a caller without a valid one is turned away. */
function serverCredentials(certificates: CertificateSource | undefined): ServerCredentials {
  if (certificates === undefined) return ServerCredentials.createInsecure();
  const provider = createProvider(certificates);
  return experimental.createCertificateProviderServerCredentials(provider, provider, true);
}

/** Listeners are told later, since the server is not yet ready for an answer as it registers one. */
function createProvider(certificates: CertificateSource): experimental.CertificateProvider {
  const caListeners = new Set<experimental.CaCertificateUpdateListener>();
  const identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();
  const tellAuthority = (listener: experimental.CaCertificateUpdateListener) => {
    const { ca } = certificates.current();
    listener(ca === undefined ? null : { caCertificate: ca });
  };
  const tellIdentity = (listener: experimental.IdentityCertificateUpdateListener) => {
    const { cert, key } = certificates.current();
    listener({ certificate: cert, privateKey: key });
  };
  certificates.onChange(() => {
    caListeners.forEach(tellAuthority);
    identityListeners.forEach(tellIdentity);
  });
  return {
    addCaCertificateListener: (listener) => {
      caListeners.add(listener);
      queueMicrotask(() => tellAuthority(listener));
    },
    removeCaCertificateListener: (listener) => caListeners.delete(listener),
    addIdentityCertificateListener: (listener) => {
      identityListeners.add(listener);
      queueMicrotask(() => tellIdentity(listener));
    },
    removeIdentityCertificateListener: (listener) => identityListeners.delete(listener),
  };
}
