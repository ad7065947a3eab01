import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { expect } from 'chai';
import fc from 'fast-check';
import { formatDocument, parseDocument } from '../../src/configuration/document.js';
import type { ConfigurationDocument, DocumentDiagnostic } from '../../src/configuration/types.js';
import { assignNumbers, createView, NO_ASSIGNMENTS } from '../../src/configuration/view.js';

const KEY = 'a'.repeat(64);
const OTHER_KEY = 'b'.repeat(64);
const TEAMS = `teams:
  all:
    keyHashes: [${KEY}]
    sections: [teams, customers, entitlements, pools, upstreams, routes, plannedStops, fairness, limits, placement]
`;

function documentOf(source: string): ConfigurationDocument {
  const result = parseDocument(source);
  if (result.kind !== 'document') throw new Error(JSON.stringify(result.diagnostics));
  return result.document;
}

function diagnosticsOf(source: string): readonly DocumentDiagnostic[] {
  const result = parseDocument(source);
  return result.kind === 'diagnostics' ? result.diagnostics : [];
}

/** Returns the first diagnostic, without the four lines of `TEAMS` in its line number. */
const firstDiagnosticOf = (source: string) => {
  const [first] = diagnosticsOf(TEAMS + source);
  return first && { code: first.code, line: first.line - 4, column: first.column };
};

describe('configuration document', () => {
  for (const name of ['cherry-net-hire', 'lembah-salju']) {
    it(`accepts the example ${name}`, async () => {
      const document = documentOf(await readFile(join('examples', `${name}.yaml`), 'utf8'));
      const numbers = assignNumbers(document, NO_ASSIGNMENTS);
      const view = createView(document, numbers, 5);
      expect(view.upstreams.size).to.equal(document.upstreams.size);
      expect(view.customersByKey.size).to.equal(document.customers.size);
      expect(documentOf(formatDocument(document))).to.deep.equal(document);
    });
  }

  it('fills in defaults and inherits limits', () => {
    const document = documentOf(`${TEAMS}limits: { rate: 7 }
customers:
  c1: { keyHashes: [${KEY}], limits: { concurrency: 3 } }
pools:
  chat: { kind: model }
  shop: { kind: service }
entitlements:
  c1: { chat: 2.5 }
`);
    const view = createView(document, assignNumbers(document, NO_ASSIGNMENTS), 1);
    expect(view.customers.get(1)?.limits).to.include({ concurrency: 3, rate: 7 });
    expect(view.weightOf(1, 'chat')).to.equal(2.5);
    expect(view.weightOf(1, 'shop')).to.equal(1);
    expect(view.pools.get('chat')?.idempotentByDefault).to.equal(true);
    expect(view.pools.get('shop')?.idempotentByDefault).to.equal(false);
  });

  it('reports the position of a diagnostic and suggests a similar name', () => {
    expect(firstDiagnosticOf('pols:\n  a: { kind: model }\n')).to.deep.equal({
      code: 'unknownSectionNear',
      line: 1,
      column: 1,
    });
    expect(firstDiagnosticOf('pools:\n  # note\n  a:\n    knd: model\n')).to.deep.equal({
      code: 'missingField',
      line: 3,
      column: 3,
    });
    expect(
      diagnosticsOf(`${TEAMS}pools:\n  a:\n    kind: model\n    crosRegion: true\n`)[0],
    ).to.include({ code: 'unknownFieldNear', line: 8, column: 5 });
    expect(firstDiagnosticOf('pools:\n  a: { kind: model }\n  a: { kind: model }\n')).to.deep.equal(
      {
        code: 'duplicateKey',
        line: 3,
        column: 3,
      },
    );
    expect(firstDiagnosticOf('pools:\n  a: { kind: model, kind: service }\n')?.code).to.equal(
      'malformedYaml',
    );
    expect(firstDiagnosticOf('fairness:\n  scop: pool\n')?.code).to.equal('unknownFieldNear');
    expect(
      firstDiagnosticOf('pools:\n    a: { kind: model }\n  b: { kind: model }\n')?.line,
    ).to.equal(3);
  });

  it('checks references across sections', () => {
    const pools = 'pools:\n  chat: { kind: model }\n';
    const upstream = (pool: string, port = 1) =>
      `{ pool: ${pool}, url: "http://127.0.0.1:${port}", domain: d, region: r }`;
    expect(firstDiagnosticOf(`${pools}upstreams:\n  e: ${upstream('chap')}\n`)).to.deep.equal({
      code: 'unknownReferenceNear',
      line: 4,
      column: 3,
    });
    expect(firstDiagnosticOf(`${pools}entitlements:\n  c: { chat: 1 }\n`)?.code).to.equal(
      'unknownReference',
    );
    expect(firstDiagnosticOf('plannedStops:\n  e9: { reason: x }\n')?.code).to.equal(
      'unknownReference',
    );
    const twice = `upstreams:\n  e: ${upstream('chat')}\n  f: ${upstream('chat')}\n`;
    expect(firstDiagnosticOf(pools + twice)?.code).to.equal('sharedUrl');
    const shared = `customers:\n  c: { keyHashes: [${OTHER_KEY}] }\n  d: { keyHashes: [${OTHER_KEY}] }\n`;
    expect(firstDiagnosticOf(shared)).to.deep.equal({ code: 'sharedKey', line: 3, column: 3 });
    expect(diagnosticsOf('pools:\n  a: { kind: model }\n')[0]?.code).to.equal(
      'sectionWithoutOwner',
    );
  });

  it('limits aliases, nesting depth and size', () => {
    const bomb = Array.from({ length: 20 }, () => '*a').join(', ');
    expect(
      firstDiagnosticOf(`routes:\n  a: [&a { pathPrefix: /, idempotent: true }, ${bomb}]\n`)?.code,
    ).to.equal('tooManyAliases');
    expect(firstDiagnosticOf(`pools:\n  a: ${'['.repeat(5_000)}\n`)?.code).to.equal('entryTooDeep');
    expect(firstDiagnosticOf(`pools:\n  a:\n    ${'- '.repeat(5_000)}x\n`)?.code).to.equal(
      'entryTooDeep',
    );
    expect(firstDiagnosticOf(`pools:\n  a: "${'x'.repeat(70_000)}"\n`)?.code).to.equal(
      'entryTooLarge',
    );
    expect(firstDiagnosticOf(`plannedStops:\n  a: { reason: *b }\n`)?.code).to.equal(
      'malformedYaml',
    );
  });

  it('never throws and is deterministic for arbitrary text', () => {
    const line = fc.constantFrom(
      'pools:',
      'teams:',
      '  a:',
      '  a: {',
      '    kind: model',
      '  - x',
      '}',
      '---',
      '? x',
      '  b: [',
      '  "q": |',
      '\tx: 1',
      '#c',
      '',
      '  a: *x',
      '  a: &x 1',
      '%TAG',
      '  c: !!set {a}',
      ' d: 1',
    );
    fc.assert(
      fc.property(fc.array(line, { maxLength: 12 }), (lines) => {
        const source = lines.join('\n');
        expect(parseDocument(source)).to.deep.equal(parseDocument(source));
      }),
      { seed: 6, numRuns: 500 },
    );
  });
});

describe('assignment of customer and pool numbers', () => {
  it('is stable and unique and never reuses a number', () => {
    const names = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'));
    fc.assert(
      fc.property(fc.array(names, { maxLength: 8 }), (history) => {
        let numbers = NO_ASSIGNMENTS;
        const ownerOf = new Map<number, string>();
        const retired = new Set<number>();
        history.forEach((ids) => {
          const customers = new Map(ids.map((id) => [id, { key: id, text: '', value: {} }]));
          const document = { ...documentOf(TEAMS), customers } as unknown as ConfigurationDocument;
          const before = numbers.customers;
          numbers = assignNumbers(document, numbers);
          before.forEach((number, id) => {
            if ((ids as string[]).includes(id)) expect(numbers.customers.get(id)).to.equal(number);
            else retired.add(number);
          });
          numbers.customers.forEach((number, id) => {
            expect(ownerOf.get(number) ?? id).to.equal(id);
            expect(retired.has(number)).to.equal(false);
            ownerOf.set(number, id);
          });
        });
      }),
      { seed: 6 },
    );
  });
});
