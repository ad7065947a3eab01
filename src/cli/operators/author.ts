/** Option for the author name that is recorded with an operator's edits. */
import { userInfo } from 'node:os';
import { option, string } from 'cmd-ts';

export const authorOption = option({
  type: string,
  long: 'author',
  defaultValue: () => userInfo().username,
  description: 'author name recorded in the history and the audit trail',
});
