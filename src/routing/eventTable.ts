/**
 * Table of the routing core's log events and of the reasons of its own answers. Codes are stable;
 * docs/OPERATIONS.md lists what to do about each.
 */

export type EventCategory =
  /** Ends a request, or decides what becomes of it. */
  | 'request'
  /** Changes what the process believes of its configuration, upstreams or peers. */
  | 'belief'
  /** Start, stop and reload of the process. */
  | 'process';

export interface RoutingEventEntry {
  readonly number: number;
  readonly category: EventCategory;
  readonly text: string;
}

const entry = (number: number, category: EventCategory, text: string): RoutingEventEntry => ({
  number,
  category,
  text,
});

export const routingEvents = {
  served: entry(9001, 'request', 'The answer was passed on whole.'),
  sent: entry(9002, 'request', 'Sent to an upstream.'),
  retried: entry(9003, 'request', 'Sent to another upstream.'),
  resumed: entry(9004, 'request', 'The stream goes on at another upstream.'),
  callerGone: entry(9005, 'request', 'The caller left.'),
  noRoute: entry(9010, 'request', 'No route has this host and path.'),
  unknownKey: entry(9011, 'request', 'The key is missing or unknown.'),
  noConfiguration: entry(9012, 'request', 'No configuration has been read yet.'),
  staleConfiguration: entry(9013, 'request', 'The configuration has not been confirmed in time.'),
  stopping: entry(9014, 'request', 'The instance is stopping.'),
  noUpstream: entry(9015, 'request', 'No upstream of the pool can take the request.'),
  overShare: entry(9016, 'request', 'Upstreams are busy, and the customer is beyond its share.'),
  overload: entry(9017, 'request', 'The request could not begin in time.'),
  crashesUpstreams: entry(9018, 'request', 'Upstreams crashed while they ran this request.'),
  retryBudgetSpent: entry(9019, 'request', 'The budget of retries is spent.'),
  declined: entry(9020, 'request', 'The upstream did not run the request, and no other can.'),
  notSent: entry(9021, 'request', 'No connection to an upstream could be opened.'),
  answerCut: entry(9022, 'request', 'The upstream broke off before its answer was complete.'),
  foreignAnswer: entry(9023, 'request', 'The upstream sent the answer to another request.'),
  upstreamError: entry(9024, 'request', 'The upstream answered with a server error.'),
  timedOut: entry(9025, 'request', 'The time limit passed before the answer.'),
  malformed: entry(9026, 'request', 'The request cannot be read.'),
  internalError: entry(9027, 'request', 'An internal error ended the request.'),
  instanceBusy: entry(9028, 'request', 'This instance was too busy to decide in time.'),
  configurationInForce: entry(9040, 'belief', 'A configuration is in force.'),
  configurationIgnored: entry(9041, 'belief', 'A configuration was not taken.'),
  configurationStale: entry(9042, 'belief', 'The configuration is no longer confirmed.'),
  configurationFresh: entry(9043, 'belief', 'The configuration is confirmed again.'),
  platformLost: entry(9044, 'belief', 'The platform does not answer.'),
  platformRegained: entry(9045, 'belief', 'The platform answers again.'),
  upstreamListed: entry(9046, 'belief', 'An upstream is in the list.'),
  upstreamDraining: entry(9047, 'belief', 'An upstream is leaving.'),
  upstreamRemoved: entry(9048, 'belief', 'An upstream left the list.'),
  entryUnreadable: entry(9049, 'belief', 'An entry of the platform cannot be read.'),
  upstreamLost: entry(9050, 'belief', 'An upstream does not answer.'),
  upstreamRegained: entry(9051, 'belief', 'An upstream answers again.'),
  upstreamFaulty: entry(9052, 'belief', 'An upstream fails more requests than others.'),
  peerFound: entry(9053, 'belief', 'Another instance was found.'),
  peerLost: entry(9054, 'belief', 'Another instance was not heard of.'),
  requestSuspected: entry(9055, 'belief', 'An upstream crashed while it ran a request.'),
  clockGap: entry(9056, 'belief', 'Time passed unnoticed, or clocks disagree.'),
  announceFailed: entry(9057, 'belief', 'The announcement of this instance failed.'),
  domainFound: entry(9058, 'belief', 'Sums of another failure domain have come.'),
  domainLost: entry(9059, 'belief', 'No sums of another failure domain have come in time.'),
  newerVersionHeard: entry(9060, 'belief', 'Another instance has a newer configuration.'),
  loadMeasured: entry(9061, 'belief', 'What the last second took of this process.'),
  clockDistrusted: entry(9062, 'belief', 'A clock runs at another pace and no longer counts.'),
  started: entry(9070, 'process', 'The instance has started.'),
  ready: entry(9071, 'process', 'The instance takes callers.'),
  notReady: entry(9072, 'process', 'The instance takes no callers.'),
  stopRequested: entry(9073, 'process', 'A stop was requested.'),
  stopped: entry(9074, 'process', 'The instance has stopped.'),
  reloaded: entry(9075, 'process', 'The settings were read again.'),
  reloadFailed: entry(9076, 'process', 'The settings were read again and not taken.'),
  linesOmitted: entry(9077, 'process', 'Log lines were left out.'),
  eventFailed: entry(9078, 'process', 'An event could not be handled.'),
} as const satisfies Readonly<Record<string, RoutingEventEntry>>;

export type RoutingEventCode = keyof typeof routingEvents;
