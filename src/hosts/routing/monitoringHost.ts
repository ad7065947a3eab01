/** HTTP server for the load balancer's readiness check and the metrics collector. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

export interface MonitoringHostOptions {
  readonly host: string;
  readonly port: number;
  /** Pages by path. */
  readonly pages: ReadonlyMap<string, () => Promise<MonitoringPage> | MonitoringPage>;
}

export interface MonitoringPage {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

export interface MonitoringHost {
  readonly listen: () => Promise<string>;
  readonly close: () => void;
}

const NOT_FOUND: MonitoringPage = { status: 404, contentType: 'text/plain', text: '' };
const INTERNAL_ERROR: MonitoringPage = { status: 500, contentType: 'text/plain', text: '' };

export function createMonitoringHost(options: MonitoringHostOptions): MonitoringHost {
  const server: Server = createServer((req, res) => {
    const [path] = (req.url ?? '/').split('?');
    const page = options.pages.get(path ?? '/');
    const send = ({ status, contentType, text }: MonitoringPage) => {
      res.writeHead(status, { 'content-type': contentType });
      res.end(text);
    };
    Promise.resolve(page?.() ?? NOT_FOUND).then(send, () => send(INTERNAL_ERROR));
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
