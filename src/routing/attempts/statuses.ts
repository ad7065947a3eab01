/** HTTP statuses on which routing decisions depend. */

/** Statuses that guarantee to the caller that its request has not run and will not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Status of an upstream that got a request meant for the previous user of its address. */
export const MISDIRECTED_STATUS = 421;
/** Status of an upstream that refuses a request for lack of capacity. */
export const UNAVAILABLE_STATUS = 503;
/** Lowest status that indicates an error. */
export const FIRST_ERROR_STATUS = 400;
