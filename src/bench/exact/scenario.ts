/** One run of a fleet under steady work and some faults, judged by the reference model. */
import type { Millis } from '../../core/clock.js';
import { strike, type Fault } from './faults.js';
import { createExactFleet, type ExactFleet, type ExactFleetOptions } from './fleet.js';

export interface Strike {
  readonly fault: Fault;
  /** Time after the begin of the work. */
  readonly at: Millis;
  readonly span: Millis;
  readonly pick: number;
}

export interface ScenarioOptions {
  readonly fleet: ExactFleetOptions;
  readonly strikes: readonly Strike[];
  readonly workMs?: Millis;
  readonly requestEveryMs?: Millis;
}

export interface ScenarioResult {
  readonly fleet: ExactFleet;
  readonly violations: readonly string[];
}

const WARM_UP_MS = 6_000;
const SETTLE_MS = 40_000;
/** Requests of which a key is sent to several instances at once. */
const COPIES = 3;
/** Share of callers that leave, and the time within which they do. */
const LEAVING_SHARE = 0.1;
const LEAVING_MS = 200;
/** Crashes that a request may still cause from its second sending on. */
const MAX_CRASHES = 2;

export function runScenario(options: ScenarioOptions): ScenarioResult {
  const fleet = createExactFleet(options.fleet);
  const workMs = options.workMs ?? 8_000;
  fleet.runFor(WARM_UP_MS);
  options.strikes.forEach(({ fault, at, span, pick }) => {
    fleet.schedule.after(at, () => strike(fleet, fault, pick, span));
  });
  const every = options.requestEveryMs ?? 100;
  for (let at = 0; at < workMs; at += every) {
    fleet.schedule.after(at, () => sendSome(fleet));
  }
  fleet.runFor(workMs + SETTLE_MS);
  const violations = [
    ...fleet.model.judge(fleet.upstreams.sightings),
    ...judgeCrashes(fleet, options.strikes),
    ...judgeQuarantine(fleet),
  ];
  return { fleet, violations };
}

/** Sends a stream to the assistant, or a booking under a key to several instances at once. */
function sendSome(fleet: ExactFleet): void {
  const { random, ids } = fleet;
  const at = () => ids[random.nextInt(ids.length)] as string;
  const customer = 1 + random.nextInt(3);
  const kind = random.nextInt(5);
  if (kind < 2) {
    const outputTokens = 1 + random.nextInt(10);
    mayLeave(fleet, fleet.submit(at(), { pool: 'chat', customer, outputTokens }));
  } else if (kind === 2) {
    fleet.submit(at(), { pool: 'desk', customer, outputTokens: 0 });
  } else {
    const key = `k${Math.floor(random.next() * 1e9)}`;
    const copies = kind === 3 ? 1 : COPIES;
    for (let i = 0; i < copies; i += 1) {
      const delay = random.nextInt(2) * random.nextInt(3_000);
      fleet.schedule.after(delay, () => {
        const spec = { pool: 'desk', customer, outputTokens: 0, key, content: key } as const;
        mayLeave(fleet, fleet.submit(at(), spec));
      });
    }
  }
}

/** Some callers do not wait for their answer. */
function mayLeave(fleet: ExactFleet, requestId: string): void {
  if (fleet.random.next() >= LEAVING_SHARE) return;
  fleet.schedule.after(fleet.random.nextInt(LEAVING_MS), () => fleet.leave(requestId));
}

function judgeCrashes(fleet: ExactFleet, strikes: readonly Strike[]): readonly string[] {
  const sendings = [...fleet.model.submissions.values()].filter(({ isCrashing }) => isCrashing);
  const second = sendings[1]?.at;
  if (second === undefined) return [];
  const sides = strikes.some(({ fault }) => fault === 'partition') ? 2 : 1;
  const crashes = fleet.upstreams.crashes.filter((crash) => crash.at > second).length;
  return crashes > MAX_CRASHES * sides ? [`${crashes} crashes from the second sending on`] : [];
}

function judgeQuarantine({ model }: ExactFleet): readonly string[] {
  const broken: string[] = [];
  model.told.forEach((outcomes, requestId) => {
    if (model.submissions.get(requestId)?.isCrashing === true) return;
    const isWrong = outcomes.some(
      (outcome) => 'problem' in outcome && outcome.problem.code === 'quarantined',
    );
    if (isWrong) broken.push(`${requestId} was quarantined although it crashes nothing`);
  });
  return broken;
}
