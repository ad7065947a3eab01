/**
 * Prepares a checkout: installs the dependencies if they are missing or not those of the lock file, then
 * compiles. Runs before `npm start` and `npm test`.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, lstatSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const run = (command, args) => execFileSync(command, args, { cwd: root, stdio: 'inherit' });

/** Whether `node_modules` is a symbolic link to another checkout, which keeps it up to date. */
const isLinked = () =>
  lstatSync(join(root, 'node_modules'), { throwIfNoEntry: false })?.isSymbolicLink();

const readPackages = (file) => JSON.parse(readFileSync(file, 'utf8')).packages;

/**
 * Whether a package of the lock file is meant for machines of another kind. Which C library a machine
 * has is not known here, so that packages for one of them may be missing.
 */
const isForOtherMachines = ({ cpu, os, libc }) =>
  libc !== undefined ||
  (cpu !== undefined && !cpu.includes(process.arch)) ||
  (os !== undefined && !os.includes(process.platform));

/**
 * Whether the packages that are installed are those of the lock file, for this kind of machine. Their
 * contents are compared, since a checkout that is laid over older packages may have any file times.
 */
const isInstalled = () => {
  if (isLinked()) return true;
  const marker = join(root, 'node_modules', '.package-lock.json');
  if (!existsSync(marker)) return false;
  const installed = readPackages(marker);
  return Object.entries(readPackages(join(root, 'package-lock.json')))
    .filter(([path]) => path !== '')
    .every(([path, locked]) =>
      installed[path] === undefined
        ? locked.optional === true && isForOtherMachines(locked)
        : installed[path].integrity === locked.integrity,
    );
};

if (!isInstalled()) run('npm', ['ci', '--include=dev', '--no-audit', '--no-fund']);
run(process.execPath, [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-p', root]);
