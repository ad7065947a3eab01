/**
 * Encodes and decodes checkpoints: the state of the fold, split into parts of bounded size, for the
 * log and for peers. Entries include their parsed values, so that a new instance does not have to
 * parse a large document.
 */
import * as z from 'zod';
import { parseEntry } from '../../configuration/entry.js';
import {
  SECTION_NAMES,
  type ConfigurationDocument,
  type Entry,
  type SectionName,
  type Steps,
} from '../../configuration/types.js';
import { createFoldState, type AcceptedEdit, type FoldState, type Verdict } from './foldState.js';
import { parseJson, SCHEMA_VERSION } from './records.js';

/** Estimated text length at which the next part begins. */
const PART_TEXT_LENGTH = 32_768;
/** Work of encoding or decoding one part, in units of parsing one entry. */
const PART_WORK = 4;
/** Work of collecting the items of one part, in units of parsing one entry. */
const CHUNK_WORK = 1;

/** Key, source text and parsed value, then the number of a customer or pool, or 0 in other sections. */
type EntryRow = readonly [string, string, unknown, number];

interface CheckpointHead {
  readonly version: number;
  readonly nextCustomer: number;
  readonly nextPool: number;
  readonly sectionVersions: readonly (readonly [SectionName, number])[];
}

/** One part of a checkpoint. */
export interface CheckpointPart {
  readonly kind: 'part';
  readonly schemaVersion: number;
  readonly id: string;
  readonly part: number;
  readonly parts: number;
  /** The checkpoint includes all records before this offset. */
  readonly through: number;
  readonly head?: CheckpointHead | undefined;
  readonly verdicts?: readonly Verdict[] | undefined;
  readonly history?: readonly AcceptedEdit[] | undefined;
  readonly section?: SectionName | undefined;
  readonly entries?: readonly EntryRow[] | undefined;
}

type PartContent = Pick<CheckpointPart, 'head' | 'verdicts' | 'history' | 'section' | 'entries'>;

const partSchema = z.object({
  kind: z.literal('part'),
  schemaVersion: z.int(),
  id: z.string(),
  part: z.int().min(0),
  parts: z.int().min(1).max(65_536),
  through: z.int().min(0),
  head: z
    .object({
      version: z.int(),
      nextCustomer: z.int(),
      nextPool: z.int(),
      sectionVersions: z.array(z.tuple([z.enum(SECTION_NAMES), z.int()])),
    })
    .optional(),
  verdicts: z.array(z.custom<Verdict>()).optional(),
  history: z.array(z.custom<AcceptedEdit>()).optional(),
  section: z.enum(SECTION_NAMES).optional(),
  entries: z.array(z.tuple([z.string(), z.string(), z.unknown(), z.number()])).optional(),
});

/** Encodes the state of the fold incrementally; returns the parts in order. */
export function* encodeCheckpointSteps(fold: FoldState, id: string): Steps<readonly string[]> {
  const contents = yield* partContentsSteps(fold);
  const parts: string[] = [];
  for (const content of contents) {
    const part: CheckpointPart = {
      kind: 'part',
      schemaVersion: SCHEMA_VERSION,
      id,
      part: parts.length,
      parts: contents.length,
      through: fold.next,
      ...content,
    };
    parts.push(JSON.stringify(part));
    yield PART_WORK;
  }
  return parts;
}

function* partContentsSteps(fold: FoldState): Steps<readonly PartContent[]> {
  const head: CheckpointHead = {
    version: fold.version,
    nextCustomer: fold.numbers.nextCustomer,
    nextPool: fold.numbers.nextPool,
    sectionVersions: [...fold.sectionVersions],
  };
  const verdicts = yield* chunkSteps([...fold.verdicts.values()], estimateVerdictLength);
  const history = yield* chunkSteps(fold.history, estimateEditLength);
  const contents: PartContent[] = [
    { head },
    ...verdicts.map((chunk) => ({ verdicts: chunk })),
    ...history.map((chunk) => ({ history: chunk })),
  ];
  for (const section of SECTION_NAMES) {
    const entries = (fold.document[section] as ReadonlyMap<string, Entry>).values();
    const numbers = numbersOf(fold, section);
    const rows = yield* chunkSteps(entries, estimateEntryLength);
    rows.forEach((chunk) => {
      const row = ({ key, text, value }: Entry): EntryRow => [
        key,
        text,
        value,
        numbers?.get(key) ?? 0,
      ];
      contents.push({ section, entries: chunk.map(row) });
    });
  }
  return contents;
}

function estimateEntryLength(entry: Entry): number {
  return entry.key.length + 2 * entry.text.length;
}

function estimateVerdictLength(verdict: Verdict): number {
  return 200 + 200 * (verdict.diagnostics.length + verdict.conflicts.length);
}

function estimateEditLength(edit: AcceptedEdit): number {
  return 200 + edit.length;
}

function numbersOf(fold: FoldState, section: SectionName) {
  if (section === 'customers') return fold.numbers.customers;
  return section === 'pools' ? fold.numbers.pools : undefined;
}

/** Groups items into chunks of bounded length, incrementally. */
function* chunkSteps<T>(
  items: Iterable<T>,
  lengthOf: (item: T) => number,
): Steps<readonly (readonly T[])[]> {
  const result: T[][] = [];
  let length = PART_TEXT_LENGTH;
  for (const item of items) {
    if (length >= PART_TEXT_LENGTH) {
      result.push([]);
      length = 0;
      yield CHUNK_WORK;
    }
    result.at(-1)?.push(item);
    length += lengthOf(item);
  }
  return result;
}

/** Decodes one part; returns `undefined` for invalid text and for a newer schema version. */
export function decodePart(data: string): CheckpointPart | undefined {
  const parsed = partSchema.safeParse(parseJson(data));
  if (!parsed.success || parsed.data.schemaVersion > SCHEMA_VERSION) return undefined;
  return parsed.data;
}

/**
 * Restores the state of the fold from all parts of a checkpoint, incrementally. Returns `undefined`
 * if the head is missing or an entry cannot be parsed.
 */
export function* loadCheckpointSteps(
  parts: readonly CheckpointPart[],
): Steps<FoldState | undefined> {
  const head = parts[0]?.head;
  if (head === undefined) return undefined;
  const fold = createFoldState();
  const customers = new Map<string, number>();
  const pools = new Map<string, number>();
  const sections = Object.fromEntries(
    SECTION_NAMES.map((name) => [name, new Map<string, Entry>()]),
  ) as Record<SectionName, Map<string, Entry>>;
  for (const part of parts) {
    part.verdicts?.forEach((verdict) => fold.verdicts.set(verdict.editId, verdict));
    if (part.history !== undefined) fold.history = [...fold.history, ...part.history];
    const { section } = part;
    if (section !== undefined) {
      for (const row of part.entries ?? []) {
        const entry = decodeEntry(part, section, row);
        if (entry === undefined) return undefined;
        sections[section].set(row[0], entry);
        if (section === 'customers') customers.set(row[0], row[3]);
        if (section === 'pools') pools.set(row[0], row[3]);
      }
    }
    yield part.schemaVersion === SCHEMA_VERSION ? PART_WORK : (part.entries?.length ?? 0);
  }
  fold.next = parts[0]?.through ?? 0;
  fold.version = head.version;
  fold.document = sections as unknown as ConfigurationDocument;
  const { nextCustomer, nextPool } = head;
  fold.numbers = { customers, nextCustomer, pools, nextPool };
  head.sectionVersions.forEach(([name, version]) => fold.sectionVersions.set(name, version));
  return fold;
}

/** Values of an older schema version may lack defaults, so their source text is parsed again. */
function decodeEntry(part: CheckpointPart, section: SectionName, row: EntryRow): Entry | undefined {
  const [key, text, value] = row;
  if (part.schemaVersion === SCHEMA_VERSION) return { key, text, value };
  const result = parseEntry(section, { key, text, line: 0 });
  return result.kind === 'entry' ? result.entry : undefined;
}
