/**
 * Log events of the routing core. Those that end a request are also the reasons in the responses
 * that the instance generates itself, with `text` as their title. Codes are stable;
 * docs/OPERATIONS.md lists the action for each.
 */

export type EventCategory =
  /** Concerns a single request: its placement, retries or end. */
  | 'request'
  /** Changes the process's view of its configuration, upstreams, peers or own load. */
  | 'belief'
  /** Concerns the start, stop, reload or logging of the process. */
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
  served: entry(9001, 'request', 'The complete answer was forwarded to the caller.'),
  sent: entry(9002, 'request', 'The request was sent to an upstream.'),
  retried: entry(9003, 'request', 'The request was retried at another upstream.'),
  resumed: entry(9004, 'request', 'The stream was resumed at another upstream.'),
  callerGone: entry(9005, 'request', 'The caller disconnected.'),
  noRoute: entry(9010, 'request', 'No route has this host and path.'),
  unknownKey: entry(9011, 'request', 'The key is missing or unknown.'),
  noConfiguration: entry(9012, 'request', 'No configuration has been read yet.'),
  staleConfiguration: entry(9013, 'request', 'The configuration has not been confirmed in time.'),
  stopping: entry(9014, 'request', 'The instance is stopping.'),
  noUpstream: entry(9015, 'request', 'No upstream of the pool can take the request.'),
  overShare: entry(9016, 'request', 'Upstreams are busy, and the customer is beyond its share.'),
  overload: entry(9017, 'request', 'The request could not begin in time.'),
  crashesUpstreams: entry(
    9018,
    'request',
    'Upstreams crashed each time they began to answer this request, or one with a part of its prompt.',
  ),
  retryBudgetSpent: entry(9019, 'request', 'The retry budget is exhausted.'),
  declined: entry(9020, 'request', 'The upstream did not run the request, and no other can.'),
  notSent: entry(9021, 'request', 'No connection to an upstream could be opened.'),
  answerCut: entry(9022, 'request', 'The upstream broke off before its answer was complete.'),
  foreignAnswer: entry(9023, 'request', 'The upstream sent the answer to another request.'),
  upstreamError: entry(9024, 'request', 'The upstream answered with a server error.'),
  timedOut: entry(9025, 'request', 'The time limit passed before the answer.'),
  malformed: entry(9026, 'request', 'The request cannot be read.'),
  internalError: entry(9027, 'request', 'An internal error ended the request.'),
  triedAgain: entry(9029, 'request', 'The request was sent to see if upstreams still crash on it.'),
  notRetried: entry(9030, 'request', 'The request was not retried, as it may crash upstreams.'),
  upstreamsLimited: entry(
    9031,
    'request',
    'The upstreams that could begin in time already get as many requests as they accept.',
  ),
  passedOver: entry(
    9032,
    'request',
    'A better upstream already gets as many requests as it accepts.',
  ),
  noRoomForBody: entry(9036, 'request', 'There is no memory for the body of the request.'),
  unwilling: entry(
    9033,
    'request',
    'An upstream that could take the request has said that it wants none.',
  ),
  versionUnknown: entry(
    9034,
    'request',
    'It is not known which software version began the stream.',
  ),
  versionGone: entry(
    9035,
    'request',
    'No upstream has the software version that began the stream.',
  ),
  takenUp: entry(9036, 'request', 'A stream goes on at the software version that began it.'),
  takenUpUntold: entry(
    9037,
    'request',
    'A stream goes on at the only software version that can have begun it.',
  ),
  instanceBusy: entry(9028, 'request', 'This instance was too busy to decide in time.'),
  configurationInForce: entry(9040, 'belief', 'A configuration is in force.'),
  configurationIgnored: entry(9041, 'belief', 'A configuration was ignored.'),
  configurationStale: entry(9042, 'belief', 'The configuration is no longer confirmed.'),
  configurationFresh: entry(9043, 'belief', 'The configuration is confirmed again.'),
  platformLost: entry(9044, 'belief', 'The platform does not respond.'),
  platformRegained: entry(9045, 'belief', 'The platform responds again.'),
  upstreamListed: entry(9046, 'belief', 'An upstream was added to the list.'),
  upstreamDraining: entry(9047, 'belief', 'An upstream is draining.'),
  upstreamRemoved: entry(9048, 'belief', 'An upstream was removed from the list.'),
  entryUnreadable: entry(9049, 'belief', 'An entry from the platform cannot be parsed.'),
  upstreamLost: entry(9050, 'belief', 'An upstream does not respond.'),
  upstreamRegained: entry(9051, 'belief', 'An upstream responds again.'),
  upstreamFaulty: entry(9052, 'belief', 'An upstream fails more requests than others.'),
  peerFound: entry(9053, 'belief', 'Another instance was discovered.'),
  peerLost: entry(9054, 'belief', 'No message from another instance arrived in time.'),
  clockGap: entry(9056, 'belief', 'The process was suspended, or its clocks disagree.'),
  announceFailed: entry(9057, 'belief', 'This instance could not announce itself to the platform.'),
  domainFound: entry(9058, 'belief', 'Sums from another failure domain arrived.'),
  domainLost: entry(9059, 'belief', 'No sums from another failure domain arrived in time.'),
  newerVersionHeard: entry(9060, 'belief', 'Another instance has a newer configuration.'),
  loadMeasured: entry(9061, 'belief', 'The load of this process in the last second.'),
  poolEstimated: entry(
    9095,
    'belief',
    'What this process has learnt of the speed of the upstreams of a pool.',
  ),
  clockDistrusted: entry(9062, 'belief', 'A clock runs at a different rate and is ignored.'),
  messageMalformed: entry(9063, 'belief', 'A message from another instance cannot be decoded.'),
  messageNotSent: entry(9064, 'belief', 'A message to another instance could not be sent.'),
  upstreamCrashed: entry(9065, 'belief', 'An upstream broke off its answers and is gone.'),
  causeFreed: entry(9066, 'belief', 'A request or a part of prompts is no longer refused.'),
  causeNotBlocked: entry(9067, 'belief', 'Too many requests and parts are refused already.'),
  causeBlocked: entry(9068, 'belief', 'Upstreams crashed on a request or a part; it is refused.'),
  limitStated: entry(9079, 'belief', 'An upstream limits the rate of its requests.'),
  limitEnded: entry(9080, 'belief', 'An upstream no longer limits the rate of its requests.'),
  limitUnreadable: entry(9081, 'belief', 'The rate limit of an upstream cannot be read.'),
  platformRestored: entry(
    9082,
    'belief',
    'The platform has come back from an earlier copy of itself.',
  ),
  upstreamLeaving: entry(9084, 'belief', 'An upstream has said in an answer that it leaves.'),
  pauseRequested: entry(
    9085,
    'belief',
    'An upstream wants no request of this instance for a time.',
  ),
  pauseEnded: entry(9086, 'belief', 'The time for which an upstream wanted no request has passed.'),
  pauseUnreadable: entry(9087, 'belief', 'The time that a refusal names cannot be read.'),
  listHistoryRead: entry(9088, 'belief', 'The history of the list has told of software versions.'),
  readOverdue: entry(9083, 'belief', 'A read of the platform never ended and was begun anew.'),
  started: entry(9070, 'process', 'The instance has started.'),
  ready: entry(9071, 'process', 'The instance accepts new callers.'),
  notReady: entry(9072, 'process', 'The instance accepts no new callers.'),
  stopRequested: entry(9073, 'process', 'A stop was requested.'),
  stopped: entry(9074, 'process', 'The instance has stopped.'),
  reloaded: entry(9075, 'process', 'The settings were reloaded.'),
  reloadFailed: entry(9076, 'process', 'The reloaded settings were rejected.'),
  linesOmitted: entry(9077, 'process', 'Log lines were dropped.'),
  portTaken: entry(9092, 'process', 'A port is in use; opening it is tried again.'),
  connectionFailed: entry(
    9093,
    'process',
    'An event of a connection to an upstream could not be handled; the connection is lost.',
  ),
  uncaughtError: entry(9094, 'process', 'An error was not caught where it arose.'),
  responseFailed: entry(9091, 'process', 'A response could not be written to its caller.'),
  eventFailed: entry(9078, 'process', 'An event could not be handled.'),
} as const satisfies Readonly<Record<string, RoutingEventEntry>>;

export type RoutingEventCode = keyof typeof routingEvents;
