/**
 * Publishes edits: the instance that takes an edit turns it into a record, appends it and answers
 * once the fold has judged the record. An edit is known by its id, so a lost reply is settled by
 * reading, and an edit that is sent again gets the first verdict.
 */
import type { DocumentDiagnostic } from '../../configuration/types.js';
import { DOCUMENT_BYTES_MAX } from '../../configuration/bounds.js';
import { formatDiagnostic, type DiagnosticCode } from '../diagnostics.js';
import type { CoreContext } from '../context.js';
import type { AppendResult, Executed, OperatorCommand, Problem, Step } from '../types.js';
import { changesSteps, locate } from './changes.js';
import type { PendingEdit } from './configurationState.js';
import type { RefusalReason, Verdict } from './foldState.js';
import { checkOperatorKey } from './keys.js';
import {
  changedKeys,
  CONFIGURATION_STREAM,
  encodeEditSteps,
  proofSteps,
  SCHEMA_VERSION,
  type EditContent,
  type SectionChange,
} from './records.js';
import { addJob, isFolded } from './work.js';

type PublishCommand = Extract<OperatorCommand, { readonly kind: 'publish' }>;

/** Length of the old and new texts in the audit trail. */
const AUDIT_TEXT_MAX = 500;
/** Entries of one section of which the audit trail shows texts. */
const AUDIT_KEYS_MAX = 50;

const REASON_CODES: Readonly<Record<RefusalReason, DiagnosticCode>> = {
  unknownTeam: 'operatorKeyUnknown',
  wrongProof: 'operatorKeyUnknown',
  notOwner: 'editNotOwner',
  unknownBase: 'editUnknownBase',
  conflict: 'editConflict',
  invalid: 'editInvalid',
  bootstrap: 'editBootstrap',
};

const REASON_STATUS: Readonly<Record<RefusalReason, number>> = {
  unknownTeam: 401,
  wrongProof: 401,
  notOwner: 403,
  unknownBase: 409,
  conflict: 409,
  invalid: 422,
  bootstrap: 422,
};

/** Takes an edit from an operator. */
export function onPublish(ctx: CoreContext, commandId: string, command: PublishCommand): void {
  const { configuration } = ctx.state;
  const known = configuration.publishing.get(command.editId);
  const check = checkOperatorKey(ctx, command.keyHash);
  if (check.kind === 'rejected') {
    ctx.emit({ kind: 'operatorReply', commandId, result: check });
  } else if (known !== undefined) {
    known.commandIds.push(commandId);
  } else {
    const edit: PendingEdit = {
      editId: command.editId,
      commandIds: [commandId],
      author: command.author,
      team: check.team,
      keyHash: command.keyHash,
      baseVersion: command.baseVersion,
      section: command.section,
      text: command.text,
      takenAt: ctx.now,
      phase: 'syncing',
      appendId: undefined,
      before: '',
      after: '',
    };
    configuration.publishing.set(edit.editId, edit);
    if (configuration.reading.failingSince === undefined) configuration.reading.retryAt = ctx.now;
    advanceEdits(ctx);
  }
}

/** Moves every pending edit on as far as what has been read allows. */
export function advanceEdits(ctx: CoreContext): void {
  const { configuration, settings } = ctx.state;
  for (const edit of [...configuration.publishing.values()]) {
    const verdict = configuration.fold.verdicts.get(edit.editId);
    if (verdict !== undefined) replyVerdict(ctx, edit, verdict);
    else if (ctx.now - edit.takenAt >= settings.publishTimeoutMs) replyUnsettled(ctx, edit);
    else if (edit.phase === 'syncing') prepareIfSynced(ctx, edit);
  }
}

/**
 * The changes are computed against the sections in force, so these must be at least as new as the
 * version that the author had read. What changed in between makes the fold refuse the edit.
 */
function prepareIfSynced(ctx: CoreContext, edit: PendingEdit): void {
  const { configuration } = ctx.state;
  const { fold, reading } = configuration;
  if (fold.blocked !== undefined) {
    const { offset, schemaVersion: version } = fold.blocked;
    const detail = formatDiagnostic('schemaNewer', { offset, version });
    finish(ctx, edit, problemOf('schemaNewer', 503, 'no', 'configure', detail));
    return;
  }
  const hasReadEnd = reading.atEndAt !== undefined && reading.mode.kind === 'follow';
  if (!isFolded(configuration) || !(hasReadEnd || configuration.hasCaughtUp)) return;
  if (fold.version >= edit.baseVersion) {
    prepare(ctx, edit);
  } else if (hasReadEnd && (reading.atEndAt ?? 0) > edit.takenAt) {
    const detail = formatDiagnostic('editUnknownBase', { version: edit.baseVersion });
    finish(ctx, edit, problemOf('editUnknownBase', 409, 'no', 'configure', detail));
  }
}

function prepare(ctx: CoreContext, edit: PendingEdit): void {
  edit.phase = 'preparing';
  addJob(
    ctx,
    (function* prepareEdit() {
      const { fold } = ctx.state.configuration;
      const result = yield* changesSteps(fold.document, edit.section, edit.text);
      if (result.kind === 'diagnostics') {
        return (later: CoreContext) => rejectInvalid(later, edit, result.diagnostics);
      }
      const content: EditContent = {
        editId: edit.editId,
        baseVersion: edit.baseVersion,
        author: edit.author,
        team: edit.team,
        at: ctx.now,
        changes: result.changes,
      };
      const proof = yield* proofSteps(edit.keyHash, content);
      const record = { kind: 'edit', schemaVersion: SCHEMA_VERSION, ...content, proof } as const;
      const data = yield* encodeEditSteps(record);
      return (later: CoreContext) => append(later, edit, data, result.changes);
    })(),
  );
}

function append(
  ctx: CoreContext,
  edit: PendingEdit,
  record: string,
  changes: readonly SectionChange[],
): void {
  const { configuration } = ctx.state;
  if (changes.length === 0) {
    const { version } = configuration.fold;
    finish(ctx, edit, undefined, { editId: edit.editId, version, unchanged: true });
    return;
  }
  if (record.length > DOCUMENT_BYTES_MAX) {
    const detail = formatDiagnostic('documentTooLarge', { limit: DOCUMENT_BYTES_MAX });
    finish(ctx, edit, problemOf('documentTooLarge', 413, 'no', 'configure', detail));
    return;
  }
  describeChanges(ctx, edit, changes);
  edit.phase = 'appending';
  edit.appendId = configuration.nextAppendId;
  configuration.nextAppendId += 1;
  const { appendId } = edit;
  ctx.emit({ kind: 'appendLog', appendId, stream: CONFIGURATION_STREAM, records: [record] });
}

/** Settles an append: only a certain refusal of the log ends the edit. */
export function onEditAppended(ctx: CoreContext, appendId: number, result: AppendResult): void {
  const { publishing } = ctx.state.configuration;
  const edit = [...publishing.values()].find((pending) => pending.appendId === appendId);
  if (edit === undefined) return;
  edit.phase = 'settling';
  if (result.kind !== 'rejected') return;
  finish(ctx, edit, problemOf('configurationLogDown', 503, 'no', 'append', result.detail));
}

function replyVerdict(ctx: CoreContext, edit: PendingEdit, verdict: Verdict): void {
  if (verdict.accepted) {
    const { editId, offset, sections } = verdict;
    finish(ctx, edit, undefined, { editId, version: offset, sections });
    return;
  }
  const reason = verdict.reason ?? 'invalid';
  const code = REASON_CODES[reason];
  const detail = formatDiagnostic(code, { version: edit.baseVersion });
  const diagnostics = locate(verdict.diagnostics, edit.section, edit.text);
  const data = { editId: edit.editId, reason, diagnostics, conflicts: verdict.conflicts };
  finish(ctx, edit, problemOf(code, REASON_STATUS[reason], 'no', 'configure', detail), data);
}

function rejectInvalid(
  ctx: CoreContext,
  edit: PendingEdit,
  diagnostics: readonly DocumentDiagnostic[],
): void {
  const detail = formatDiagnostic('editInvalid');
  const data = { editId: edit.editId, reason: 'invalid', diagnostics, conflicts: [] };
  finish(ctx, edit, problemOf('editInvalid', 422, 'no', 'configure', detail), data);
}

/** Nothing was appended as long as the edit was still being prepared. */
function replyUnsettled(ctx: CoreContext, edit: PendingEdit): void {
  const isAppended = edit.phase === 'appending' || edit.phase === 'settling';
  const problem = isAppended
    ? problemOf('editUnsettled', 504, 'unknown', 'settle', formatDiagnostic('editUnsettled'))
    : problemOf(
        'configurationLogDown',
        503,
        'no',
        'read',
        formatDiagnostic('configurationLogDown'),
      );
  finish(ctx, edit, problem);
}

function finish(
  ctx: CoreContext,
  edit: PendingEdit,
  problem: Problem | undefined,
  data?: unknown,
): void {
  ctx.state.configuration.publishing.delete(edit.editId);
  const result =
    problem === undefined
      ? ({ kind: 'done', data } as const)
      : ({ kind: 'rejected', problem, ...(data !== undefined && { data }) } as const);
  edit.commandIds.forEach((commandId) => ctx.emit({ kind: 'operatorReply', commandId, result }));
  ctx.emit({
    kind: 'audit',
    entry: {
      at: ctx.now,
      who: `${edit.team}/${edit.author}`,
      action: 'publish',
      subject: edit.section,
      accepted: problem === undefined,
      detail: `${edit.editId}: ${problem?.detail ?? 'accepted'}`,
      before: edit.before,
      after: edit.after,
    },
  });
}

function describeChanges(
  ctx: CoreContext,
  edit: PendingEdit,
  changes: readonly SectionChange[],
): void {
  const { document } = ctx.state.configuration.fold;
  const keys = changes.flatMap((change) =>
    changedKeys(change)
      .slice(0, AUDIT_KEYS_MAX)
      .map((key) => ({ change, key })),
  );
  edit.before = shorten(
    keys.map(({ change, key }) => document[change.section].get(key)?.text ?? ''),
  );
  edit.after = shorten(keys.map(({ change, key }) => change.set[key] ?? ''));
}

/** Shortens texts for the audit trail and blots out hashes of keys. */
function shorten(texts: readonly string[]): string {
  const text = texts
    .slice(0, AUDIT_TEXT_MAX)
    .join('')
    .slice(0, 4 * AUDIT_TEXT_MAX);
  const withoutHashes = text.replace(/[0-9a-f]{64}/g, (hash) => `${hash.slice(0, 8)}…`);
  return withoutHashes.slice(0, AUDIT_TEXT_MAX);
}

function problemOf(
  code: DiagnosticCode,
  status: number,
  executed: Executed,
  step: Step,
  detail: string,
): Problem {
  const isLog = step === 'append' || step === 'read' || step === 'settle';
  const peer = isLog ? ({ kind: 'platform', part: 'log' } as const) : ({ kind: 'caller' } as const);
  return { code, status, executed, step, peer, detail };
}
