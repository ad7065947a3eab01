/* eslint n/no-process-exit: 'off' -- the exit code is the result */
/**
 * Frame of a case: collects what was sent, answered and run in record.txt, and maps the result to the
 * exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

const LIMIT_MS = 115_000;

export const hasTrouble = process.env.TROUBLE !== '0';

export async function runCase(folder, play) {
  const begun = Date.now();
  const lines = [];
  const record = (entry) => {
    const seconds = ((Date.now() - begun) / 1000).toFixed(3);
    lines.push(
      typeof entry === 'string' ? `${seconds} ${entry}` : `${seconds} ${JSON.stringify(entry)}`,
    );
  };
  const cleanups = [];
  const finish = async (code, summary) => {
    for (const cleanup of cleanups.reverse()) {
      // eslint-disable-next-line no-await-in-loop -- in order
      await cleanup();
    }
    record(`result: ${summary}; exit code ${code}`);
    await writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.stdout.write(`${summary}\n`);
    process.exit(code);
  };
  setTimeout(() => {
    void finish(2, 'took too long');
  }, LIMIT_MS).unref();
  // A fault of the stand-ins shows nothing of the rule.
  const fail = (err) => {
    void finish(2, `could not run: ${err?.stack ?? err}`);
  };
  process.once('uncaughtException', fail);
  process.once('unhandledRejection', fail);
  try {
    const { isBroken, summary } = await play({
      record,
      onEnd: (cleanup) => cleanups.push(cleanup),
    });
    await finish(isBroken ? 1 : 0, summary);
  } catch (err) {
    await finish(2, `could not run: ${err.stack ?? err}`);
  }
}
