/** Reads the Git revision of the checkout from its files, without starting a process. */
import { existsSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';

const SHORT_LENGTH = 10;

/** Returns the abbreviated revision of the checkout in the working directory, or `unknown`. */
export function readRevision(): string {
  const gitDir = findGitDir('.git');
  if (gitDir === undefined) return 'unknown';
  const head = readFileSync(join(gitDir, 'HEAD'), 'utf8').trim();
  if (!head.startsWith('ref: ')) return head.slice(0, SHORT_LENGTH);
  const ref = head.slice('ref: '.length);
  const common = join(gitDir, 'commondir');
  const refsDir = existsSync(common) ? join(gitDir, readFileSync(common, 'utf8').trim()) : gitDir;
  const file = join(refsDir, ref);
  return existsSync(file) ? readFileSync(file, 'utf8').slice(0, SHORT_LENGTH) : 'unknown';
}

/** Resolves `.git`, which in a linked worktree is a file with the path of the actual directory. */
function findGitDir(path: string): string | undefined {
  if (!existsSync(path)) return undefined;
  if (statSync(path).isDirectory()) return path;
  return readFileSync(path, 'utf8').replace('gitdir:', '').trim();
}
