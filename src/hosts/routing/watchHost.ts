/** Ports for the balancer's readiness check and for the collector of metrics. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

export interface WatchHostOptions {
  readonly host: string;
  readonly port: number;
  /** Path and what it answers. */
  readonly pages: ReadonlyMap<string, () => Promise<WatchPage> | WatchPage>;
}

export interface WatchPage {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

export interface WatchHost {
  readonly listen: () => Promise<string>;
  readonly close: () => void;
}

const NOT_FOUND: WatchPage = { status: 404, contentType: 'text/plain', text: '' };
const FAILED: WatchPage = { status: 500, contentType: 'text/plain', text: '' };

export function createWatchHost(options: WatchHostOptions): WatchHost {
  const server: Server = createServer((req, res) => {
    const [path] = (req.url ?? '/').split('?');
    const page = options.pages.get(path ?? '/');
    const send = ({ status, contentType, text }: WatchPage) => {
      res.writeHead(status, { 'content-type': contentType });
      res.end(text);
    };
    Promise.resolve(page?.() ?? NOT_FOUND).then(send, () => send(FAILED));
  });
  return {
    listen: async () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(options.port, options.host, () => {
          server.removeListener('error', reject);
          const { address, port } = server.address() as AddressInfo;
          resolve(`${address}:${port}`);
        });
      }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
