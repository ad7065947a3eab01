import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { expect } from 'chai';
import fc from 'fast-check';
import { formatSettingsDiagnostic, parseSettings } from '../../src/configuration/settings.js';
import {
  coreSettingDefaults,
  routingSettingDefaults,
} from '../../src/configuration/settingsSchema.js';
import {
  formatDuration,
  formatSize,
  parseDuration,
  parseSize,
} from '../../src/configuration/units.js';

const VALID_SETTINGS = `instance: { id: a1, domain: iasi-a, region: moldova }
listen:
  callers: 10.0.0.1:8080
  peers: 10.0.0.1:8081
`;

const diagnosticLinesOf = (text: string): readonly string[] => {
  const result = parseSettings(text);
  if (result.kind === 'settings') return [];
  return result.diagnostics.map((diagnostic) => formatSettingsDiagnostic('s.yaml', diagnostic));
};

describe('settings', () => {
  it('reads durations, sizes and defaults', () => {
    const result = parseSettings(
      `${VALID_SETTINGS}core: { heartbeat: 250ms, recordedAnswer: 64KiB }\n`,
    );
    expect(result).to.nested.include({
      kind: 'settings',
      'settings.core.heartbeatMs': 250,
      'settings.core.recordedAnswerBytes': 65_536,
      'settings.log.level': 'info',
      'settings.listen.operators': '127.0.0.1:9081',
    });
  });

  const cases: Readonly<Record<string, readonly [string, string]>> = {
    'an unknown key': [
      `${VALID_SETTINGS}core:\n  heartbeet: 1s\n`,
      "s.yaml:6:3: error 3004: The key 'heartbeet' is not known here. Did you mean 'heartbeat'?",
    ],
    'an unknown unit': [`${VALID_SETTINGS}core:\n  heartbeat: 4sec\n`, 's.yaml:6:14: error 3006:'],
    'a number without a unit': [`${VALID_SETTINGS}core: { poll: 5 }\n`, 's.yaml:5:15: error 3006:'],
    'a duplicate key': [`${VALID_SETTINGS}log: {}\nlog: {}\n`, 's.yaml:6:1: error 3007:'],
    'a missing key': [
      'instance: { id: a, domain: d }\n',
      "s.yaml:1:11: error 3005: 'instance.region'",
    ],
    'a host name': [
      VALID_SETTINGS.replace('10.0.0.1:8081', 'localhost:1'),
      's.yaml:4:10: error 3006:',
    ],
    'a port out of range': [VALID_SETTINGS.replace('8081', '70000'), 's.yaml:4:10: error 3006:'],
    'an alias': [`${VALID_SETTINGS}log: *x\n`, 's.yaml:5:6: error 300'],
    'broken YAML': ['instance: [', 's.yaml:1:12: error 3002:'],
    'an empty file': ['', "s.yaml:1:1: error 3005: 'instance' is missing."],
  };
  Object.entries(cases).forEach(([what, [text, message]]) => {
    it(`reports the position of ${what}`, () => {
      expect(diagnosticLinesOf(text).join('\n')).to.include(message);
    });
  });

  // `node scripts/settingsPage.mjs` regenerates the page.
  it('documents every setting with its default', async () => {
    const page = await readFile(join('docs', 'SETTINGS.md'), 'utf8');
    const groups = { core: coreSettingDefaults(), 'routing.tuning': routingSettingDefaults() };
    Object.entries(groups).forEach(([name, defaults]) => {
      const section = page.split('\n## ').find((text) => text.startsWith(`\`${name}\``)) ?? '';
      const rows = section.split('\n').map((line) => line.split('|').map((cell) => cell.trim()));
      defaults.forEach((value, key) => {
        const row = rows.find((cells) => cells[1] === `\`${key}\``);
        expect(row?.[2], key).to.equal(`\`${value}\``);
        expect(row?.[3], key).to.not.equal('');
      });
    });
  });

  it('parses every duration and size that it formats', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 999_999_999 }), (value) => {
        expect(parseDuration(formatDuration(value))).to.equal(value);
        expect(parseSize(formatSize(value))).to.equal(value);
      }),
      { seed: 3 },
    );
  });

  it('never throws and reports a diagnostic with a position for arbitrary text', () => {
    fc.assert(
      fc.property(fc.string({ maxLength: 60 }), (text) => {
        const found = diagnosticLinesOf(text);
        expect(found).to.not.be.empty;
        found.forEach((line) => expect(line).to.match(/^s\.yaml:\d+:\d+: error 300\d: /));
      }),
      { seed: 4, numRuns: 500 },
    );
  });
});
