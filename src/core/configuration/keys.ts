/** Authenticates operators: checks their keys against the key hashes of the teams in the document. */
import type { Millis } from '../clock.js';
import { emitAuditEntry, type CoreContext } from '../context.js';
import { equalInConstantTime } from '../sha256.js';
import type { KeyHash, NotRunProblem } from '../types.js';

/** Number of unknown keys within the window that are audited; further ones get status 429. */
const MAX_KEY_FAILURES = 10;
const KEY_FAILURE_WINDOW_MS: Millis = 60_000;

/** Team name for the first edit of a fleet, before the document defines teams. */
export const BOOTSTRAP_TEAM = 'bootstrap';

export type KeyCheck =
  | { readonly kind: 'team'; readonly team: string }
  | { readonly kind: 'rejected'; readonly problem: NotRunProblem };

/**
 * Returns the team that owns a key, or the problem with which to reject the command. Compares in
 * constant time with the key hashes of all teams.
 */
export function checkOperatorKey(ctx: CoreContext, keyHash: KeyHash): KeyCheck {
  const team = findTeam(ctx, keyHash);
  if (team !== undefined) return { kind: 'team', team };
  const { configuration } = ctx.state;
  const recentFailures = configuration.keyFailures.filter(
    (at) => ctx.now - at < KEY_FAILURE_WINDOW_MS,
  );
  const isRateLimited = recentFailures.length >= MAX_KEY_FAILURES;
  configuration.keyFailures = isRateLimited ? recentFailures : [...recentFailures, ctx.now];
  if (!isRateLimited)
    emitAuditEntry(ctx, 'authenticate', 'operators', 'unknown operator key', false);
  const problem: NotRunProblem = {
    code: isRateLimited ? 'operatorKeyRate' : 'operatorKeyUnknown',
    status: isRateLimited ? 429 : 401,
    executed: 'no',
    step: 'authenticate',
    peer: { kind: 'caller' },
    ...(isRateLimited && { retryAfterMs: KEY_FAILURE_WINDOW_MS }),
  };
  return { kind: 'rejected', problem };
}

/**
 * Returns the team whose key matches. Before there are teams, the bootstrap keys in the settings
 * apply, or any key if there are none.
 */
function findTeam(ctx: CoreContext, keyHash: KeyHash): string | undefined {
  const { teams } = ctx.state.configuration.fold.document;
  const { bootstrapKeyHashes } = ctx.state.settings;
  if (teams.size === 0) {
    const acceptsAnyKey = bootstrapKeyHashes.length === 0;
    return acceptsAnyKey || matchesAny(bootstrapKeyHashes, keyHash) ? BOOTSTRAP_TEAM : undefined;
  }
  let found: string | undefined;
  teams.forEach(({ value }, team) => {
    if (matchesAny(value.keyHashes, keyHash)) found = team;
  });
  return found;
}

function matchesAny(hashes: readonly KeyHash[], keyHash: KeyHash): boolean {
  return hashes.map((hash) => equalInConstantTime(hash, keyHash)).includes(true);
}
