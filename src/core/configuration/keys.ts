/** Checks operators' keys against the hashes in the configuration in force. */
import type { Millis } from '../clock.js';
import { audit, type CoreContext } from '../context.js';
import { equalInConstantTime } from '../sha256.js';
import type { KeyHash, NotRunProblem } from '../types.js';

/** Failed keys that are answered and recorded one by one within the window. */
const FAILURES_MAX = 10;
const FAILURE_WINDOW_MS: Millis = 60_000;

/** Team name of the first edit of a fleet, before there are teams. */
export const BOOTSTRAP_TEAM = 'bootstrap';

export type KeyCheck =
  | { readonly kind: 'team'; readonly team: string }
  | { readonly kind: 'rejected'; readonly problem: NotRunProblem };

/** Returns the team to which a key belongs. Compares with every key, in constant time. */
export function checkOperatorKey(ctx: CoreContext, keyHash: KeyHash): KeyCheck {
  const team = teamOf(ctx, keyHash);
  if (team !== undefined) return { kind: 'team', team };
  const { configuration } = ctx.state;
  const recent = configuration.keyFailures.filter((at) => ctx.now - at < FAILURE_WINDOW_MS);
  const isTooOften = recent.length >= FAILURES_MAX;
  configuration.keyFailures = isTooOften ? recent : [...recent, ctx.now];
  if (!isTooOften) audit(ctx, 'authenticate', 'operators', 'unknown operator key', false);
  const problem: NotRunProblem = {
    code: isTooOften ? 'operatorKeyRate' : 'operatorKeyUnknown',
    status: isTooOften ? 429 : 401,
    executed: 'no',
    step: 'authenticate',
    peer: { kind: 'caller' },
    ...(isTooOften && { retryAfterMs: FAILURE_WINDOW_MS }),
  };
  return { kind: 'rejected', problem };
}

function teamOf(ctx: CoreContext, keyHash: KeyHash): string | undefined {
  const { teams } = ctx.state.configuration.fold.document;
  const { bootstrapKeyHashes } = ctx.state.settings;
  if (teams.size === 0) {
    const isOpen = bootstrapKeyHashes.length === 0;
    return isOpen || matches(bootstrapKeyHashes, keyHash) ? BOOTSTRAP_TEAM : undefined;
  }
  let found: string | undefined;
  teams.forEach(({ value }, team) => {
    if (matches(value.keyHashes, keyHash)) found = team;
  });
  return found;
}

function matches(hashes: readonly KeyHash[], keyHash: KeyHash): boolean {
  return hashes.map((hash) => equalInConstantTime(hash, keyHash)).includes(true);
}
