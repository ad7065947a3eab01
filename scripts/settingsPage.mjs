/** Writes the table of the core's settings in docs/SETTINGS.md from their doc comments. */
import { readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const page = join(root, 'docs', 'SETTINGS.md');
const core = join(root, 'src', 'core');
const { coreSettingDefaults } = await import('../dist/src/configuration/settingsSchema.js');

const comments = new Map();
readdirSync(core, { recursive: true })
  .filter((name) => /ettings\.ts$/.test(name))
  .forEach((name) => {
    const source = readFileSync(join(core, name), 'utf8');
    const field = /\/\*\*((?:(?!\*\/)[^])*)\*\/\s*readonly (\w+):/g;
    for (const [, comment, key] of source.matchAll(field)) {
      const text = comment.replace(/\s*\n\s*\*\s*/g, ' ').trim();
      comments.set(key.replace(/(Ms|Bytes)$/, ''), text.replace(/\.$/, ''));
    }
  });
const rows = [...coreSettingDefaults()].map(
  ([key, value]) => `| \`${key}\` | \`${value}\` | ${comments.get(key) ?? ''} |`,
);
const text = readFileSync(page, 'utf8');
const start = text.indexOf('| key', text.indexOf('## `core`'));
const table = ['| key | default | meaning |', '| --- | --- | --- |', ...rows].join('\n');
writeFileSync(page, `${text.slice(0, start)}${table}\n`);
