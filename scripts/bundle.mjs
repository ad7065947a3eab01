/**
 * Bundles the platform program into a single file, `target/primroseswitch.mjs` or the path given as
 * argument. Loading the bundle takes a third of the time of loading the modules one by one, and
 * unused library code, which the bundle omits, takes no memory.
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');

await build({
  entryPoints: [join(root, 'platform', 'main.ts')],
  outfile: process.argv[2] ?? join(root, 'target', 'primroseswitch.mjs'),
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  // CommonJS libraries load built-in Node.js modules with `require`, which ES modules lack.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
