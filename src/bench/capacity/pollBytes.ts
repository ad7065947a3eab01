/** Measures the bytes that one poll of an engine's load and cache events transfers. */
import { connect } from 'node:net';
import { createEngineStandin } from '../../standins/index.js';

const PATHS = ['/load', '/cache/events?after=0'] as const;

/** Polls an engine stand-in, with one connection per path, and returns the bytes sent and received. */
export async function measurePollBytes(): Promise<number> {
  const engine = await createEngineStandin({});
  const sizes = await Promise.all(PATHS.map(async (path) => measurePath(engine.port, path)));
  await engine.stop();
  return sizes.reduce((sum, size) => sum + size, 0);
}

async function measurePath(port: number, path: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', reject);
    socket.on('end', () => {
      resolve(socket.bytesRead + socket.bytesWritten);
      socket.destroy();
    });
    socket.resume();
    socket.write(`GET ${path} HTTP/1.1\r\nhost: 127.0.0.1:${port}\r\nconnection: close\r\n\r\n`);
  });
}
