/** Statuses of HTTP that mean something to decisions. */

/** Statuses that promise a caller that its request has not run and never will. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** The address belongs to another upstream. */
export const MISDIRECTED_STATUS = 421;
/** First status that tells of an error. */
export const FIRST_ERROR_STATUS = 400;
