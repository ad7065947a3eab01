/**
 * Generates the settings tables in docs/SETTINGS.md from the doc comments of the settings in src/core
 * and src/routing.
 */
import { readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const page = join(root, 'docs', 'SETTINGS.md');
const { coreSettingDefaults, routingSettingDefaults } =
  await import('../dist/src/configuration/settingsSchema.js');

/** Returns the doc comments of the settings in a folder, by their key in settings files. */
function readComments(folder) {
  const comments = new Map();
  const dir = join(root, 'src', folder);
  readdirSync(dir, { recursive: true })
    .filter((name) => /ettings\.ts$/.test(name))
    .forEach((name) => {
      const source = readFileSync(join(dir, name), 'utf8');
      const field = /\/\*\*((?:(?!\*\/)[^])*)\*\/\s*readonly (\w+):/g;
      for (const [, comment, key] of source.matchAll(field)) {
        const text = comment.replace(/\s*\n\s*\*\s*/g, ' ').trim();
        comments.set(key.replace(/(Ms|Bytes)$/, ''), text.replace(/\.$/, ''));
      }
    });
  return comments;
}

function formatTable(defaults, comments) {
  const rows = [...defaults].map(
    ([key, value]) => `| \`${key}\` | \`${value}\` | ${comments.get(key) ?? ''} |`,
  );
  return ['| key | default | meaning |', '| --- | --- | --- |', ...rows].join('\n');
}

const text = readFileSync(page, 'utf8');
const preamble = text.slice(0, text.indexOf('## `core`'));
const sections = [
  '## `core`\n\nWhat the instances of one fleet decide by. Give all instances the same values.\n',
  formatTable(coreSettingDefaults(), readComments('core')),
  '\n## `routing.tuning`\n\nSettings of an instance that passes requests through on the platform.\n',
  formatTable(routingSettingDefaults(), readComments('routing')),
];
writeFileSync(page, `${preamble}${sections.join('\n')}\n`);
