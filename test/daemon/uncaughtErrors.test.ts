import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect } from 'chai';

const execute = promisify(execFile);

/** Throws in a timer and rejects a promise that nobody handles, then says that it goes on. */
const SCRIPT = `
  import { logUncaughtErrors } from './dist/src/daemon/uncaughtErrors.js';
  logUncaughtErrors(process, {
    write: (level, event, { origin, reason }) =>
      console.log(level, event, origin, reason.split('\\n')[0]),
  });
  setTimeout(() => { throw new Error('thrown'); });
  void Promise.reject(new Error('rejected'));
  setTimeout(() => console.log('goes on'), 50);
`;

describe('an error that nothing catches', () => {
  // One of a connection ended a process with all of its requests.
  it('is logged, and the process goes on', async () => {
    const options = ['--input-type=module', '--eval', SCRIPT];
    const { stdout } = await execute(process.execPath, options);
    expect(stdout.trim().split('\n').sort()).to.deep.equal([
      'error uncaughtError uncaughtException Error: thrown',
      'error uncaughtError unhandledRejection Error: rejected',
      'goes on',
    ]);
  });
});
