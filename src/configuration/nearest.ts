/** Spelling suggestions for unknown names. */

/** Maximum edit distance of a suggestion; for names under six characters, half the length. */
const MAX_EDIT_DISTANCE = 3;

/**
 * Returns the known name with the smallest edit distance to `name`, ignoring case, or `undefined`
 * if none is within the maximum distance.
 */
export function nearestName(name: string, known: Iterable<string>): string | undefined {
  let best: string | undefined;
  let bestDistance = Math.min(MAX_EDIT_DISTANCE, Math.floor(name.length / 2)) + 1;
  for (const candidate of known) {
    if (Math.abs(candidate.length - name.length) >= bestDistance) continue;
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance < bestDistance) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best;
}

/** Levenshtein distance ("Binary codes capable of correcting deletions", 1966). */
function editDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, i) => i);
  for (let i = 1; i <= a.length; i += 1) {
    const current = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const substitution = (previous[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      current.push(Math.min((previous[j] ?? 0) + 1, (current[j - 1] ?? 0) + 1, substitution));
    }
    previous = current;
  }
  return previous[b.length] ?? 0;
}
