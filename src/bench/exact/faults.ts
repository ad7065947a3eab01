/** The faults under which outcomes must stay exact. Each one changes the fakes for a limited time. */
import type { Millis } from '../../core/clock.js';
import { Debug } from '../../core/debug.js';
import type { ExactFleet } from './fleet.js';

export const FAULTS = [
  'partition',
  'emptyRestart',
  'flood',
  'logDown',
  'logSlow',
  'lostReplies',
  'pausedClaimant',
  'crashingRequest',
  'silentConnection',
  'cutStream',
  'crossedReply',
  'decliningUpstream',
  'upstreamStop',
  'instanceStop',
] as const;

export type Fault = (typeof FAULTS)[number];

/** Share of the attempts that fail while a connection fault is active. */
const FAULTY_ATTEMPT_SHARE = 0.15;
const SLOW_LOG_MS = 1_500;
const FLOOD_REQUESTS = 150;
const MAX_RESENDS = 3;
const RESEND_INTERVAL_MS = 2_500;

/** Injects a fault for the time `span`. `pick` selects the affected instance or upstream. */
export function injectFault(fleet: ExactFleet, fault: Fault, pick: number, span: Millis): void {
  const { log, peers, upstreams, schedule } = fleet;
  const id = fleet.ids[pick % fleet.ids.length] as string;
  const atEnd = (action: () => void) => schedule.after(span, action);
  switch (fault) {
    case 'partition':
      peers.cutOff.add(id);
      atEnd(() => peers.cutOff.delete(id));
      return;
    case 'emptyRestart':
      fleet.kill(id);
      atEnd(() => fleet.start(id));
      return;
    case 'flood':
      for (let i = 0; i < FLOOD_REQUESTS; i += 1) {
        fleet.submit(id, { pool: i % 3 === 0 ? 'desk' : 'chat', customer: 4, outputTokens: 3 });
      }
      return;
    case 'logDown':
      log.faults.isDown = true;
      atEnd(() => {
        log.faults.isDown = false;
      });
      return;
    case 'logSlow':
      slowLog(fleet, span);
      return;
    case 'lostReplies':
      log.faults.lostReplies = 1;
      atEnd(() => {
        log.faults.lostReplies = 0;
      });
      return;
    case 'pausedClaimant':
      fleet.pause(id, span);
      return;
    case 'crashingRequest':
      sendCrashingRequest(fleet, pick, 0);
      return;
    case 'silentConnection':
      injectAttemptFault(fleet, 'silent', span);
      return;
    case 'cutStream':
      injectAttemptFault(fleet, 'cut', span);
      return;
    case 'crossedReply':
      injectAttemptFault(fleet, 'crossed', span);
      return;
    case 'decliningUpstream':
      injectAttemptFault(fleet, 'declined', span);
      return;
    case 'upstreamStop': {
      const upstream = `engine${pick % 4}`;
      fleet.setLeaving(upstream, true);
      atEnd(() => fleet.setLeaving(upstream, false));
      return;
    }
    case 'instanceStop':
      fleet.stop(id);
      atEnd(() => fleet.stopped.has(id) && fleet.start(id));
      return;
    default:
      Debug.assertNever(fault);
  }

  function injectAttemptFault(
    of: ExactFleet,
    kind: 'silent' | 'cut' | 'crossed' | 'declined',
    time: Millis,
  ): void {
    of.upstreams.faults[kind] = FAULTY_ATTEMPT_SHARE;
    of.schedule.after(time, () => {
      upstreams.faults[kind] = 0;
    });
  }
}

function slowLog({ log, schedule }: ExactFleet, span: Millis): void {
  const originalDelayMs = log.faults.delayMs;
  log.faults.delayMs = SLOW_LOG_MS;
  schedule.after(span, () => {
    log.faults.delayMs = originalDelayMs;
  });
}

/** Sends the same crashing request repeatedly, as a retrying caller does, each time to the next instance. */
function sendCrashingRequest(fleet: ExactFleet, pick: number, sent: number): void {
  if (sent > MAX_RESENDS) return;
  const id = fleet.ids[(pick + sent) % fleet.ids.length] as string;
  fleet.submit(id, {
    pool: 'chat',
    customer: 2,
    outputTokens: 8,
    isCrashing: true,
    content: 'crashing',
  });
  fleet.schedule.after(RESEND_INTERVAL_MS, () => sendCrashingRequest(fleet, pick, sent + 1));
}
