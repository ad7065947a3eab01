/** Speaks to the operators' port of an instance: commands, status, and edits that survive lost replies. */
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';
import { option, optional, string } from 'cmd-ts';
import { request } from 'undici';
import { formatDocumentDiagnostic } from '../../configuration/document.js';
import type { DocumentDiagnostic } from '../../configuration/types.js';
import { DEFAULT_OPERATORS_PORT } from '../../configuration/settingsSchema.js';
import type { ConflictingEdit } from '../../core/configuration/foldState.js';
import type { WireCommand } from '../../hosts/operatorCommands.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { printDiagnostic, printError } from '../output.js';

const TIMEOUT_MS = 35_000;
const PUBLISH_TRIES = 3;
const RETRY_PAUSE_MS = 500;
const KEY_VARIABLE = 'PRIMROSESWITCH_KEY';

/** Options of every command that speaks to an instance. */
export const operatorOptions = {
  url: option({
    type: string,
    long: 'url',
    short: 'u',
    defaultValue: () => `http://127.0.0.1:${DEFAULT_OPERATORS_PORT}`,
    description: "base address of an instance's operator port",
  }),
  keyFile: option({
    type: optional(string),
    long: 'key-file',
    description: `file with the operator key; else the variable ${KEY_VARIABLE}`,
  }),
};

export interface OperatorOptions {
  readonly url: string;
  readonly keyFile: string | undefined;
}

/** What an instance answered. */
export type Reply<T> =
  | { readonly kind: 'done'; readonly data: T }
  | { readonly kind: 'refused'; readonly status: number; readonly problem: ProblemBody }
  | { readonly kind: 'unreachable'; readonly reason: string };

/** A problem document with what commands add to it. */
export interface ProblemBody {
  readonly title?: string;
  readonly detail?: string;
  readonly executed?: string;
  readonly data?: {
    readonly diagnostics?: readonly DocumentDiagnostic[];
    readonly conflicts?: readonly ConflictingEdit[];
  };
}

export interface SectionSource {
  readonly section: string;
  readonly version: number;
  readonly sectionVersion: number;
  readonly text: string;
}

export interface PublishRequest {
  readonly section: string;
  readonly text: string;
  readonly baseVersion: number;
  readonly author: string;
  /** Known to the operator, so that the edit can be sent again later. */
  readonly editId?: string | undefined;
}

export interface Published {
  readonly editId: string;
  readonly version: number;
  readonly unchanged?: boolean;
}

export interface OperatorClient {
  readonly run: <T>(command: WireCommand) => Promise<Reply<T>>;
  /** Publishes under one edit id, again after a lost reply. */
  readonly publish: (edit: PublishRequest) => Promise<Reply<Published>>;
  readonly status: () => Promise<Reply<Readonly<Record<string, unknown>>>>;
}

export async function createOperatorClient(options: OperatorOptions): Promise<OperatorClient> {
  const key = await readKey(options.keyFile);

  async function send<T>(path: string, body?: string): Promise<Reply<T>> {
    try {
      const { statusCode, body: answer } = await request(`${options.url}${path}`, {
        method: body === undefined ? 'GET' : 'POST',
        headers: { 'content-type': 'application/json', authorization: `Bearer ${key}` },
        body: body ?? null,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const data: unknown = await answer.json();
      if (statusCode < 300) return { kind: 'done', data: data as T };
      return { kind: 'refused', status: statusCode, problem: data as ProblemBody };
    } catch (err) {
      const { code, message } = err as NodeJS.ErrnoException;
      return { kind: 'unreachable', reason: code ?? message };
    }
  }

  const run = async <T>(command: WireCommand) => send<T>('/commands', JSON.stringify(command));

  async function publish(edit: PublishRequest): Promise<Reply<Published>> {
    const editId = edit.editId ?? randomUUID();
    const command = { ...edit, kind: 'publish', editId } as const;
    for (let tries = 1; ; tries += 1) {
      const reply = await run<Published>(command);
      if (!isUnsettled(reply) || tries === PUBLISH_TRIES) return reply;
      await delay(RETRY_PAUSE_MS);
    }
  }

  return { run, publish, status: async () => send('/status') };
}

/** Whether an edit may or may not have been published; sending it again is safe. */
function isUnsettled(reply: Reply<unknown>): boolean {
  if (reply.kind === 'unreachable') return true;
  return reply.kind === 'refused' && reply.problem.executed === 'unknown';
}

async function readKey(file: string | undefined): Promise<string> {
  if (file === undefined) return process.env[KEY_VARIABLE] ?? '';
  return (await readFile(file, 'utf8')).trim();
}

/** Tells why a command had no success; returns the exit code. */
export function reportFailure(
  url: string,
  reply: Exclude<Reply<unknown>, { readonly kind: 'done' }>,
  file = '',
): ExitCode {
  if (reply.kind === 'unreachable') {
    printDiagnostic('operatorUnreachable', { url, reason: reply.reason });
    return EXIT_CODES.unreachable;
  }
  const { problem, status } = reply;
  printDiagnostic('operatorRefused', { status, reason: problem.detail ?? problem.title ?? '' });
  reportFindings(file, problem.data?.diagnostics ?? []);
  reportConflicts(problem.data?.conflicts ?? []);
  return problem.data?.diagnostics?.length ? EXIT_CODES.invalid : EXIT_CODES.failed;
}

function reportFindings(file: string, diagnostics: readonly DocumentDiagnostic[]): void {
  diagnostics.forEach((found) => printError(formatFinding(file, found)));
}

/** Says what to merge with, and how. */
function reportConflicts(conflicts: readonly ConflictingEdit[]): void {
  conflicts.forEach(({ version, author, team, section, keys }) => {
    printError(`  version ${version} by ${team}/${author} changed ${section}: ${keys.join(', ')}`);
  });
  if (conflicts.length === 0) return;
  printError('Get the section again, take your change over, and publish with its new version.');
}

/** `file:line:column: section: text`. */
export function formatFinding(file: string, found: DocumentDiagnostic): string {
  const prefix = file === '' ? '' : `${file}:`;
  return `${prefix}${formatDocumentDiagnostic(found)}`;
}
