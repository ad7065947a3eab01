/** Client of an instance's operator port: commands, status and edits that are retried safely. */
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
const MAX_PUBLISH_ATTEMPTS = 3;
const RETRY_DELAY_MS = 500;
const KEY_ENV_VARIABLE = 'PRIMROSESWITCH_KEY';

/** Options of all commands that connect to an instance. */
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
    description: `file with the operator key; defaults to the environment variable ${KEY_ENV_VARIABLE}`,
  }),
};

export interface OperatorOptions {
  readonly url: string;
  readonly keyFile: string | undefined;
}

/** Result of a request to an instance. */
export type Reply<T> =
  | { readonly kind: 'done'; readonly data: T }
  | { readonly kind: 'refused'; readonly status: number; readonly problem: ProblemBody }
  | { readonly kind: 'unreachable'; readonly reason: string };

/** A problem document with the additional members of command responses. */
export interface ProblemBody {
  readonly title?: string;
  readonly detail?: string;
  readonly executed?: string;
  readonly data?: {
    readonly diagnostics?: readonly DocumentDiagnostic[];
    readonly conflicts?: readonly ConflictingEdit[];
  };
}

export interface SectionContent {
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
  /** Chosen by the operator so that the edit can be resubmitted; random by default. */
  readonly editId?: string | undefined;
}

export interface PublishResult {
  readonly editId: string;
  readonly version: number;
  readonly unchanged?: boolean;
}

export interface OperatorClient {
  readonly run: <T>(command: WireCommand) => Promise<Reply<T>>;
  /** Publishes an edit, retrying with the same edit id while its outcome is unknown. */
  readonly publish: (edit: PublishRequest) => Promise<Reply<PublishResult>>;
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

  async function publish(edit: PublishRequest): Promise<Reply<PublishResult>> {
    const editId = edit.editId ?? randomUUID();
    const command = { ...edit, kind: 'publish', editId } as const;
    for (let attempt = 1; ; attempt += 1) {
      const reply = await run<PublishResult>(command);
      if (!isOutcomeUnknown(reply) || attempt === MAX_PUBLISH_ATTEMPTS) return reply;
      await delay(RETRY_DELAY_MS);
    }
  }

  return { run, publish, status: async () => send('/status') };
}

/** Whether the outcome of an edit is unknown. Retrying is safe because the edit id stays the same. */
function isOutcomeUnknown(reply: Reply<unknown>): boolean {
  if (reply.kind === 'unreachable') return true;
  return reply.kind === 'refused' && reply.problem.executed === 'unknown';
}

async function readKey(file: string | undefined): Promise<string> {
  if (file === undefined) return process.env[KEY_ENV_VARIABLE] ?? '';
  return (await readFile(file, 'utf8')).trim();
}

/** Prints why a command failed and returns its exit code. */
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
  reportDiagnostics(file, problem.data?.diagnostics ?? []);
  reportConflicts(problem.data?.conflicts ?? []);
  return problem.data?.diagnostics?.length ? EXIT_CODES.invalid : EXIT_CODES.failed;
}

function reportDiagnostics(file: string, diagnostics: readonly DocumentDiagnostic[]): void {
  diagnostics.forEach((diagnostic) => printError(formatFileDiagnostic(file, diagnostic)));
}

/** Prints the conflicting edits and how to resolve the conflict. */
function reportConflicts(conflicts: readonly ConflictingEdit[]): void {
  conflicts.forEach(({ version, author, team, section, keys }) => {
    printError(`  version ${version} by ${team}/${author} changed ${section}: ${keys.join(', ')}`);
  });
  if (conflicts.length === 0) return;
  printError('Get the section again, reapply your change and publish it with the new version.');
}

/** Formats a document diagnostic as `file:line:column: section: text`. */
export function formatFileDiagnostic(file: string, diagnostic: DocumentDiagnostic): string {
  const prefix = file === '' ? '' : `${file}:`;
  return `${prefix}${formatDocumentDiagnostic(diagnostic)}`;
}
