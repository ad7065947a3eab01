/**
 * Prepares a checkout: installs the dependencies if they are missing or older than the lock file,
 * then compiles. Runs before `npm start` and `npm test`.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, lstatSync, statSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const run = (command, args) => execFileSync(command, args, { cwd: root, stdio: 'inherit' });

/** Whether `node_modules` is a symbolic link to another checkout, which keeps it up to date. */
const isLinked = () =>
  lstatSync(join(root, 'node_modules'), { throwIfNoEntry: false })?.isSymbolicLink();

const isInstalled = () => {
  if (isLinked()) return true;
  const marker = join(root, 'node_modules', '.package-lock.json');
  return (
    existsSync(marker) &&
    statSync(marker).mtimeMs >= statSync(join(root, 'package-lock.json')).mtimeMs
  );
};

if (!isInstalled()) run('npm', ['ci', '--include=dev', '--no-audit', '--no-fund']);
run(process.execPath, [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-p', root]);
