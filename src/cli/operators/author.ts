/** The name under which an operator's edits stand in the history. */
import { userInfo } from 'node:os';
import { option, string } from 'cmd-ts';

export const authorOption = option({
  type: string,
  long: 'author',
  defaultValue: () => userInfo().username,
  description: 'name that the history and the audit trail show',
});
