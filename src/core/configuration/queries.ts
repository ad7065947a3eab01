/** Answers operators' questions about the configuration; nothing here changes it. */
import { sectionText, documentText } from '../../configuration/document.js';
import { isSectionName, SECTION_NAMES, type SectionName } from '../../configuration/types.js';
import type { CoreContext } from '../context.js';
import { formatDiagnostic, type DiagnosticCode } from '../diagnostics.js';
import type { OperatorCommand, OperatorResult, Problem } from '../types.js';
import { checkSteps, WHOLE_DOCUMENT } from './changes.js';
import { entriesAt } from './fold.js';
import type { FoldState } from './foldState.js';
import { addJob } from './work.js';

type CommandOf<K extends OperatorCommand['kind']> = Extract<OperatorCommand, { readonly kind: K }>;

const HISTORY_KEYS_MAX = 50;

/** Returns the source of a section or of the document. */
export function getConfiguration(
  ctx: CoreContext,
  command: CommandOf<'getConfiguration'>,
): OperatorResult {
  const { fold } = ctx.state.configuration;
  const section = command.section ?? WHOLE_DOCUMENT;
  if (fold.version < 0) return rejected('noConfiguration', 503);
  if (section !== WHOLE_DOCUMENT && !isSectionName(section)) {
    return rejected('unknownSection', 404, { section });
  }
  const version = command.version ?? fold.version;
  const text = textAt(fold, section, version);
  if (text === undefined) return rejected('versionNotKept', 404, { version });
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
      ? documentText(fold.document)
      : sectionText(fold.document[section]);
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

/** Parses and checks a text in pieces, then answers. */
export function checkConfiguration(
  ctx: CoreContext,
  commandId: string,
  command: CommandOf<'checkConfiguration'>,
): void {
  addJob(
    ctx,
    (function* check() {
      const { document, version } = ctx.state.configuration.fold;
      const diagnostics = yield* checkSteps(document, command.section, command.text);
      const result: OperatorResult = {
        kind: 'done',
        data: { valid: diagnostics.length === 0, version, diagnostics },
      };
      return (later: CoreContext) => {
        later.emit({ kind: 'operatorReply', commandId, result });
      };
    })(),
  );
}

/** Returns the latest edits, accepted and refused, the latest last. */
export function configurationHistory(
  ctx: CoreContext,
  command: CommandOf<'configurationHistory'>,
): OperatorResult {
  const { fold } = ctx.state.configuration;
  const edits = [...fold.verdicts.values()].slice(-command.limit).map((verdict) => {
    const { editId, offset, accepted, author, team, at, sections, reason } = verdict;
    const accepting = fold.history.find((edit) => edit.version === offset);
    const keys = (accepting?.earlier ?? []).flatMap(({ section, texts }) =>
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
      keys: keys.slice(0, HISTORY_KEYS_MAX),
      ...(reason !== undefined && { reason }),
    };
  });
  return { kind: 'done', data: { version: fold.version, edits } };
}

function rejected(
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
