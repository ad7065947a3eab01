/**
 * Publishes edits: the instance that receives an edit encodes it as a record, appends it to the log
 * and replies once the fold has a verdict on the record. Edits are identified by their id, so if the
 * reply to an append is lost, reading the log shows the result, and an edit that is submitted again
 * gets its first verdict.
 */
import type { DocumentDiagnostic } from '../../configuration/types.js';
import { MAX_DOCUMENT_LENGTH } from '../../configuration/bounds.js';
import { formatDiagnostic, type DiagnosticCode } from '../diagnostics.js';
import type { CoreContext } from '../context.js';
import type {
  AppendResult,
  ExecutionStatus,
  OperatorCommand,
  Problem,
  ProcessingStep,
} from '../types.js';
import { diffSourceSteps, toSourcePositions } from './changes.js';
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
import { enqueueJob, isQueueFolded } from './work.js';

type PublishCommand = Extract<OperatorCommand, { readonly kind: 'publish' }>;

/** Maximum length of the old text, and of the new text, in an audit entry. */
const MAX_AUDIT_TEXT_LENGTH = 500;
/** Maximum number of changed entries of one section whose texts an audit entry includes. */
const MAX_AUDIT_KEYS = 50;

const REFUSAL_CODES: Readonly<Record<RefusalReason, DiagnosticCode>> = {
  unknownTeam: 'operatorKeyUnknown',
  wrongProof: 'operatorKeyUnknown',
  notOwner: 'editNotOwner',
  unknownBase: 'editUnknownBase',
  conflict: 'editConflict',
  invalid: 'editInvalid',
  bootstrap: 'editBootstrap',
};

const REFUSAL_STATUSES: Readonly<Record<RefusalReason, number>> = {
  unknownTeam: 401,
  wrongProof: 401,
  notOwner: 403,
  unknownBase: 409,
  conflict: 409,
  invalid: 422,
  bootstrap: 422,
};

/** Handles an edit from an operator; a command with the id of a pending edit waits for its result. */
export function onPublish(ctx: CoreContext, commandId: string, command: PublishCommand): void {
  const { configuration } = ctx.state;
  const pendingEdit = configuration.publishing.get(command.editId);
  const check = checkOperatorKey(ctx, command.keyHash);
  if (check.kind === 'rejected') {
    ctx.emit({ kind: 'operatorReply', commandId, result: check });
  } else if (pendingEdit !== undefined) {
    pendingEdit.commandIds.push(commandId);
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

/** Advances every pending edit: replies with a verdict or a timeout, or prepares its record. */
export function advanceEdits(ctx: CoreContext): void {
  const { configuration, settings } = ctx.state;
  for (const edit of [...configuration.publishing.values()]) {
    const verdict = configuration.fold.verdicts.get(edit.editId);
    if (verdict !== undefined) replyVerdict(ctx, edit, verdict);
    else if (ctx.now - edit.takenAt >= settings.publishTimeoutMs) replyTimeout(ctx, edit);
    else if (edit.phase === 'syncing') prepareIfSynced(ctx, edit);
  }
}

/**
 * Prepares the record of an edit once the fold has reached the edit's base version. The changes are
 * computed against the current document, which must not be older than the version that the author
 * has read. If a section has changed since that version, the fold refuses the edit.
 */
function prepareIfSynced(ctx: CoreContext, edit: PendingEdit): void {
  const { configuration } = ctx.state;
  const { fold, reading } = configuration;
  if (fold.blocked !== undefined) {
    const { offset, schemaVersion: version } = fold.blocked;
    const detail = formatDiagnostic('schemaNewer', { offset, version });
    finishEdit(ctx, edit, createProblem('schemaNewer', 503, 'no', 'configure', detail));
    return;
  }
  const hasReadEnd = reading.atEndAt !== undefined && reading.mode.kind === 'follow';
  if (!isQueueFolded(configuration) || !(hasReadEnd || configuration.hasCaughtUp)) return;
  if (fold.version >= edit.baseVersion) {
    prepare(ctx, edit);
  } else if (hasReadEnd && (reading.atEndAt ?? 0) > edit.takenAt) {
    const detail = formatDiagnostic('editUnknownBase', { version: edit.baseVersion });
    finishEdit(ctx, edit, createProblem('editUnknownBase', 409, 'no', 'configure', detail));
  }
}

/** Computes the changes and the proof of an edit and encodes its record, incrementally. */
function prepare(ctx: CoreContext, edit: PendingEdit): void {
  edit.phase = 'preparing';
  enqueueJob(
    ctx,
    (function* prepareEdit() {
      const { fold } = ctx.state.configuration;
      const result = yield* diffSourceSteps(fold.document, edit.section, edit.text);
      if (result.kind === 'diagnostics') {
        return (completionCtx: CoreContext) =>
          rejectInvalid(completionCtx, edit, result.diagnostics);
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
      return (completionCtx: CoreContext) => appendEdit(completionCtx, edit, data, result.changes);
    })(),
  );
}

function appendEdit(
  ctx: CoreContext,
  edit: PendingEdit,
  record: string,
  changes: readonly SectionChange[],
): void {
  const { configuration } = ctx.state;
  if (changes.length === 0) {
    const { version } = configuration.fold;
    finishEdit(ctx, edit, undefined, { editId: edit.editId, version, unchanged: true });
    return;
  }
  if (record.length > MAX_DOCUMENT_LENGTH) {
    const detail = formatDiagnostic('documentTooLarge', { limit: MAX_DOCUMENT_LENGTH });
    finishEdit(ctx, edit, createProblem('documentTooLarge', 413, 'no', 'configure', detail));
    return;
  }
  setAuditTexts(ctx, edit, changes);
  edit.phase = 'appending';
  edit.appendId = configuration.nextAppendId;
  configuration.nextAppendId += 1;
  const { appendId } = edit;
  ctx.emit({ kind: 'appendLog', appendId, stream: CONFIGURATION_STREAM, records: [record] });
}

/** Ends an edit only if the log rejected its record; any other result is settled by reading the log. */
export function onEditAppended(ctx: CoreContext, appendId: number, result: AppendResult): void {
  const { publishing } = ctx.state.configuration;
  const edit = [...publishing.values()].find((pending) => pending.appendId === appendId);
  if (edit === undefined) return;
  edit.phase = 'settling';
  if (result.kind !== 'rejected') return;
  finishEdit(ctx, edit, createProblem('configurationLogDown', 503, 'no', 'append', result.detail));
}

function replyVerdict(ctx: CoreContext, edit: PendingEdit, verdict: Verdict): void {
  if (verdict.accepted) {
    const { editId, offset, sections } = verdict;
    finishEdit(ctx, edit, undefined, { editId, version: offset, sections });
    return;
  }
  const reason = verdict.reason ?? 'invalid';
  const code = REFUSAL_CODES[reason];
  const detail = formatDiagnostic(code, { version: edit.baseVersion });
  const diagnostics = toSourcePositions(verdict.diagnostics, edit.section, edit.text);
  const data = { editId: edit.editId, reason, diagnostics, conflicts: verdict.conflicts };
  finishEdit(
    ctx,
    edit,
    createProblem(code, REFUSAL_STATUSES[reason], 'no', 'configure', detail),
    data,
  );
}

function rejectInvalid(
  ctx: CoreContext,
  edit: PendingEdit,
  diagnostics: readonly DocumentDiagnostic[],
): void {
  const detail = formatDiagnostic('editInvalid');
  const data = { editId: edit.editId, reason: 'invalid', diagnostics, conflicts: [] };
  finishEdit(ctx, edit, createProblem('editInvalid', 422, 'no', 'configure', detail), data);
}

/** Replies to an edit that timed out. If it was still in preparation, nothing was appended. */
function replyTimeout(ctx: CoreContext, edit: PendingEdit): void {
  const isAppended = edit.phase === 'appending' || edit.phase === 'settling';
  const problem = isAppended
    ? createProblem('editUnsettled', 504, 'unknown', 'settle', formatDiagnostic('editUnsettled'))
    : createProblem(
        'configurationLogDown',
        503,
        'no',
        'read',
        formatDiagnostic('configurationLogDown'),
      );
  finishEdit(ctx, edit, problem);
}

function finishEdit(
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

/** Sets the old and new texts of the changed entries for the audit trail. */
function setAuditTexts(
  ctx: CoreContext,
  edit: PendingEdit,
  changes: readonly SectionChange[],
): void {
  const { document } = ctx.state.configuration.fold;
  const keys = changes.flatMap((change) =>
    changedKeys(change)
      .slice(0, MAX_AUDIT_KEYS)
      .map((key) => ({ change, key })),
  );
  edit.before = truncateAndRedact(
    keys.map(({ change, key }) => document[change.section].get(key)?.text ?? ''),
  );
  edit.after = truncateAndRedact(keys.map(({ change, key }) => change.set[key] ?? ''));
}

/** Truncates texts for the audit trail and redacts key hashes to their first eight digits. */
function truncateAndRedact(texts: readonly string[]): string {
  const text = texts
    .slice(0, MAX_AUDIT_TEXT_LENGTH)
    .join('')
    .slice(0, 4 * MAX_AUDIT_TEXT_LENGTH);
  const withoutHashes = text.replace(/[0-9a-f]{64}/g, (hash) => `${hash.slice(0, 8)}…`);
  return withoutHashes.slice(0, MAX_AUDIT_TEXT_LENGTH);
}

function createProblem(
  code: DiagnosticCode,
  status: number,
  executed: ExecutionStatus,
  step: ProcessingStep,
  detail: string,
): Problem {
  const isLog = step === 'append' || step === 'read' || step === 'settle';
  const peer = isLog ? ({ kind: 'platform', part: 'log' } as const) : ({ kind: 'caller' } as const);
  return { code, status, executed, step, peer, detail };
}
