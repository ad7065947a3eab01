/** Read-only operator commands on the configuration. */
import { formatSection, formatDocument } from '../../configuration/document.js';
import { isSectionName, SECTION_NAMES, type SectionName } from '../../configuration/types.js';
import type { CoreContext } from '../context.js';
import { formatDiagnostic, type DiagnosticCode } from '../diagnostics.js';
import type { OperatorCommand, OperatorResult, Problem } from '../types.js';
import { validateSourceSteps, WHOLE_DOCUMENT } from './changes.js';
import { entriesAt } from './fold.js';
import type { FoldState } from './foldState.js';
import { enqueueJob } from './work.js';

type CommandOf<K extends OperatorCommand['kind']> = Extract<OperatorCommand, { readonly kind: K }>;

/** Maximum number of changed keys listed for one edit in the history. */
const MAX_KEYS_PER_EDIT = 50;

/** Returns the source of a section or of the whole document, by default in its latest version. */
export function getConfiguration(
  ctx: CoreContext,
  command: CommandOf<'getConfiguration'>,
): OperatorResult {
  const { fold } = ctx.state.configuration;
  const section = command.section ?? WHOLE_DOCUMENT;
  if (fold.version < 0) return createRejection('noConfiguration', 503);
  if (section !== WHOLE_DOCUMENT && !isSectionName(section)) {
    return createRejection('unknownSection', 404, { section });
  }
  const version = command.version ?? fold.version;
  const text = textAt(fold, section, version);
  if (text === undefined) return createRejection('versionNotKept', 404, { version });
  const sectionVersion =
    section === WHOLE_DOCUMENT ? fold.version : (fold.sectionVersions.get(section) ?? -1);
  return { kind: 'done', data: { section, version, sectionVersion, text } };
}

function textAt(
  fold: FoldState,
  section: SectionName | typeof WHOLE_DOCUMENT,
  version: number,
): string | undefined {
  if (version >= fold.version) {
    return section === WHOLE_DOCUMENT
      ? formatDocument(fold.document)
      : formatSection(fold.document[section]);
  }
  if (section !== WHOLE_DOCUMENT) return earlierText(fold, section, version);
  const texts = SECTION_NAMES.map((name) => ({ name, text: earlierText(fold, name, version) }));
  if (texts.some(({ text }) => text === undefined)) return undefined;
  return texts
    .filter(({ text }) => text !== '')
    .map(({ name, text = '' }) => `${name}:\n${text.replace(/^(?=.)/gm, '  ')}`)
    .join('\n');
}

function earlierText(fold: FoldState, section: SectionName, version: number): string | undefined {
  const entries = entriesAt(fold, section, version);
  return entries === undefined ? undefined : [...entries.values()].join('');
}

/** Parses and checks a source text incrementally, then replies with the diagnostics. */
export function checkConfiguration(
  ctx: CoreContext,
  commandId: string,
  command: CommandOf<'checkConfiguration'>,
): void {
  enqueueJob(
    ctx,
    (function* check() {
      const { document, version } = ctx.state.configuration.fold;
      const diagnostics = yield* validateSourceSteps(document, command.section, command.text);
      const result: OperatorResult = {
        kind: 'done',
        data: { valid: diagnostics.length === 0, version, diagnostics },
      };
      return (completionCtx: CoreContext) => {
        completionCtx.emit({ kind: 'operatorReply', commandId, result });
      };
    })(),
  );
}

/** Returns the most recent edits, accepted and refused, in the order of the log. */
export function configurationHistory(
  ctx: CoreContext,
  command: CommandOf<'configurationHistory'>,
): OperatorResult {
  const { fold } = ctx.state.configuration;
  const edits = [...fold.verdicts.values()].slice(-command.limit).map((verdict) => {
    const { editId, offset, accepted, author, team, at, sections, reason } = verdict;
    const acceptedEdit = fold.history.find((edit) => edit.version === offset);
    const keys = (acceptedEdit?.earlier ?? []).flatMap(({ section, texts }) =>
      Object.keys(texts).map((key) => `${section}.${key}`),
    );
    return {
      editId,
      version: offset,
      accepted,
      author,
      team,
      at,
      sections,
      keys: keys.slice(0, MAX_KEYS_PER_EDIT),
      ...(reason !== undefined && { reason }),
    };
  });
  return { kind: 'done', data: { version: fold.version, edits } };
}

function createRejection(
  code: DiagnosticCode,
  status: number,
  args: Readonly<Record<string, string | number>> = {},
): OperatorResult {
  const problem: Problem = {
    code,
    status,
    executed: 'no',
    step: 'configure',
    peer: { kind: 'self' },
    detail: formatDiagnostic(code, args),
  };
  return { kind: 'rejected', problem };
}
