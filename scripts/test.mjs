/**
 * Runs the compiled tests with mocha and prints `N passed, N failed, N skipped` as the last line.
 * Tests listed in KNOWN-RED.txt are run as well. Their failures are printed and counted as skipped,
 * and do not fail the run.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import Mocha from 'mocha';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const TEST_TIMEOUT_MS = 120_000;

/** Returns the full test titles from the lines of KNOWN-RED.txt that start with `test: `. */
function readKnownFailures() {
  const file = join(root, 'KNOWN-RED.txt');
  if (!existsSync(file)) return new Set();
  const lines = readFileSync(file, 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6).trim()),
  );
}

function findTests(dir) {
  return readdirSync(dir, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.test.js'))
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name))
    .sort();
}

const filters = process.argv.slice(2);
const mocha = new Mocha({ timeout: TEST_TIMEOUT_MS, reporter: 'dot', slow: 5_000 });
const files = findTests(join(root, 'dist', 'test'));
files
  .filter((file) => filters.length === 0 || filters.some((part) => file.includes(part)))
  .forEach((file) => mocha.addFile(file));
await mocha.loadFilesAsync();

const knownFailures = readKnownFailures();
let knownFailureCount = 0;
const runner = mocha.run(() => {
  const { passes, failures, pending } = runner.stats;
  const failed = failures - knownFailureCount;
  console.log(`${passes} passed, ${failed} failed, ${pending + knownFailureCount} skipped`);
  process.exit(failed > 0 || passes === 0 ? 1 : 0);
});
runner.on('fail', (test) => {
  if (!knownFailures.has(test.fullTitle())) return;
  knownFailureCount += 1;
  console.log(`known red: ${test.fullTitle()}`);
});
