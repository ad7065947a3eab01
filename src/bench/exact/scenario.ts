/** Runs a fleet under steady load with injected faults and checks it against the reference model. */
import type { Millis } from '../../core/clock.js';
import { injectFault, type Fault } from './faults.js';
import { createExactFleet, type ExactFleet, type ExactFleetOptions } from './fleet.js';

export interface FaultInjection {
  readonly fault: Fault;
  /** Time after the start of the load. */
  readonly at: Millis;
  readonly span: Millis;
  readonly pick: number;
}

export interface ScenarioOptions {
  readonly fleet: ExactFleetOptions;
  readonly faultInjections: readonly FaultInjection[];
  readonly workMs?: Millis;
  readonly requestEveryMs?: Millis;
}

export interface ScenarioResult {
  readonly fleet: ExactFleet;
  readonly violations: readonly string[];
}

const WARM_UP_MS = 6_000;
const SETTLE_MS = 40_000;
/** Number of requests with the same key that are sent to several instances. */
const COPIES = 3;
/** Share of callers that disconnect early, and the time within which they do. */
const DISCONNECT_SHARE = 0.1;
const DISCONNECT_WITHIN_MS = 200;
/** Upstream crashes that a request may still cause after it was sent a second time. */
const MAX_CRASHES = 2;

export function runScenario(options: ScenarioOptions): ScenarioResult {
  const fleet = createExactFleet(options.fleet);
  const workMs = options.workMs ?? 8_000;
  fleet.runFor(WARM_UP_MS);
  options.faultInjections.forEach(({ fault, at, span, pick }) => {
    fleet.schedule.after(at, () => injectFault(fleet, fault, pick, span));
  });
  const every = options.requestEveryMs ?? 100;
  for (let at = 0; at < workMs; at += every) {
    fleet.schedule.after(at, () => sendRandomRequests(fleet));
  }
  fleet.runFor(workMs + SETTLE_MS);
  const violations = [
    ...fleet.model.findViolations(fleet.upstreams.executions),
    ...findExcessCrashes(fleet, options.faultInjections),
    ...findWrongQuarantines(fleet),
  ];
  return { fleet, violations };
}

/** Sends a streamed request, an unkeyed request, or one or several requests with the same key. */
function sendRandomRequests(fleet: ExactFleet): void {
  const { random, ids } = fleet;
  const at = () => ids[random.nextInt(ids.length)] as string;
  const customer = 1 + random.nextInt(3);
  const kind = random.nextInt(5);
  if (kind < 2) {
    const outputTokens = 1 + random.nextInt(10);
    maybeDisconnect(fleet, fleet.submit(at(), { pool: 'chat', customer, outputTokens }));
  } else if (kind === 2) {
    fleet.submit(at(), { pool: 'desk', customer, outputTokens: 0 });
  } else {
    const key = `k${Math.floor(random.next() * 1e9)}`;
    const copies = kind === 3 ? 1 : COPIES;
    for (let i = 0; i < copies; i += 1) {
      const delay = random.nextInt(2) * random.nextInt(3_000);
      fleet.schedule.after(delay, () => {
        const spec = { pool: 'desk', customer, outputTokens: 0, key, content: key } as const;
        maybeDisconnect(fleet, fleet.submit(at(), spec));
      });
    }
  }
}

/** Disconnects a share of the callers before they get their answer. */
function maybeDisconnect(fleet: ExactFleet, requestId: string): void {
  if (fleet.random.next() >= DISCONNECT_SHARE) return;
  fleet.schedule.after(fleet.random.nextInt(DISCONNECT_WITHIN_MS), () =>
    fleet.disconnectCaller(requestId),
  );
}

function findExcessCrashes(
  fleet: ExactFleet,
  strikes: readonly FaultInjection[],
): readonly string[] {
  const submissions = [...fleet.model.submissions.values()].filter(({ isCrashing }) => isCrashing);
  const secondSubmittedAt = submissions[1]?.at;
  if (secondSubmittedAt === undefined) return [];
  const sideCount = strikes.some(({ fault }) => fault === 'partition') ? 2 : 1;
  const crashes = fleet.upstreams.crashes.filter((crash) => crash.at > secondSubmittedAt).length;
  return crashes > MAX_CRASHES * sideCount
    ? [`${crashes} crashes after the request was sent a second time`]
    : [];
}

function findWrongQuarantines({ model }: ExactFleet): readonly string[] {
  const violations: string[] = [];
  model.outcomes.forEach((outcomes, requestId) => {
    if (model.submissions.get(requestId)?.isCrashing === true) return;
    const isWrong = outcomes.some(
      (outcome) => 'problem' in outcome && outcome.problem.code === 'quarantined',
    );
    if (isWrong)
      violations.push(`${requestId} was quarantined although it does not crash upstreams`);
  });
  return violations;
}
