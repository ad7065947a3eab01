/**
 * Injects faults at scheduled times of a load: into stand-ins through their control endpoints, and
 * into processes by signals. The process ids are passed in by the caller of the load tool.
 */
import { request } from 'undici';
import * as z from 'zod';
import type { Millis } from '../../core/clock.js';
import { parseYaml, type ParsedFile } from './loadFile.js';

const SIGNALS = ['SIGSTOP', 'SIGCONT', 'SIGKILL', 'SIGTERM'] as const;

const atMs = z.number().min(0);
const standinFault = z.strictObject({
  atMs,
  standin: z.string(),
  /** Body of `POST /_control/faults`. */
  fault: z.looseObject({ kind: z.string() }),
});
const processFault = z.strictObject({
  atMs,
  process: z.string(),
  signal: z.enum(SIGNALS),
});
const faultFileSchema = z.strictObject({
  faults: z.array(z.union([standinFault, processFault])),
});

export type FaultFile = z.output<typeof faultFileSchema>;
export type ScheduledFault = FaultFile['faults'][number];

/** A fault that was injected, or the error if the injection failed. */
export interface AppliedFault {
  readonly atMs: Millis;
  readonly target: string;
  readonly what: string;
  readonly error: string | undefined;
}

export interface FaultTargets {
  /** Base URLs of stand-ins by name. */
  readonly standins: ReadonlyMap<string, string>;
  /** Process ids by name. */
  readonly pids: ReadonlyMap<string, number>;
}

export interface FaultSchedule {
  applied: () => readonly AppliedFault[];
  stop: () => void;
}

/** Parses and validates a fault file. */
export function parseFaultFile(text: string): ParsedFile<FaultFile> {
  return parseYaml(faultFileSchema, text);
}

/** Returns the names in the schedule that do not match any target. */
export function findUnknownTargets(file: FaultFile, targets: FaultTargets): readonly string[] {
  return file.faults.flatMap((fault) => {
    const isKnown =
      'standin' in fault ? targets.standins.has(fault.standin) : targets.pids.has(fault.process);
    return isKnown ? [] : [targetNameOf(fault)];
  });
}

/** Starts the schedule. Fault times are relative to this call. */
export function startFaultSchedule(file: FaultFile, targets: FaultTargets): FaultSchedule {
  const applied: AppliedFault[] = [];

  async function run(fault: ScheduledFault): Promise<void> {
    const entry = { atMs: fault.atMs, target: targetNameOf(fault), what: describeFault(fault) };
    try {
      await apply(fault, targets);
      applied.push({ ...entry, error: undefined });
    } catch (err) {
      applied.push({ ...entry, error: err instanceof Error ? err.message : String(err) });
    }
  }

  const timers = file.faults.map((fault) =>
    setTimeout(() => {
      void run(fault);
    }, fault.atMs),
  );
  return {
    applied: () => applied,
    stop: () => timers.forEach((timer) => clearTimeout(timer)),
  };
}

async function apply(fault: ScheduledFault, targets: FaultTargets): Promise<void> {
  if ('process' in fault) {
    const pid = targets.pids.get(fault.process);
    if (pid === undefined) throw new Error(`unknown process "${fault.process}"`);
    process.kill(pid, fault.signal);
    return;
  }
  const url = targets.standins.get(fault.standin);
  if (url === undefined) throw new Error(`unknown stand-in "${fault.standin}"`);
  const body = JSON.stringify(fault.fault);
  const res = await request(`${url}/_control/faults`, { method: 'POST', body });
  await res.body.dump();
  if (res.statusCode !== 200) throw new Error(`stand-in returned status ${res.statusCode}`);
}

function targetNameOf(fault: ScheduledFault): string {
  return 'standin' in fault ? fault.standin : fault.process;
}

function describeFault(fault: ScheduledFault): string {
  return 'standin' in fault ? fault.fault.kind : fault.signal;
}
