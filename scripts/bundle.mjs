/**
 * Bundles the platform program into two files: `target/primroseswitch.mjs` or the path given as argument,
 * which only installs the handlers of signals and can be loaded at once, and beside it the program.
 * Loading the bundle takes a third of the time of loading the modules one by one, and unused library
 * code, which the bundle omits, takes no memory.
 */
import { basename, dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const outfile = process.argv[2] ?? join(root, 'target', 'primroseswitch.mjs');
const name = basename(outfile, '.mjs');

await build({
  entryPoints: { [name]: join(root, 'platform', 'main.ts') },
  outdir: dirname(outfile),
  outExtension: { '.js': '.mjs' },
  chunkNames: `${name}-[name]`,
  splitting: true,
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
