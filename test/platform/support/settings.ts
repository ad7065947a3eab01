/** Renders the settings template the way the platform does. */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Values of `Bounds` that the platform supplies. */
const BOUNDS: Readonly<Record<string, string>> = {
  'Bounds.RevokeMs': '5000',
  'Bounds.ConfigApplyMs': '2500',
  'Bounds.DrainMs': '2500',
  HeartbeatMs: '1200',
  'Limits.MemoryMb': '350',
  'Bounds.GraceS': '8',
  'Bounds.RetryRatio': '0.2',
  'Bounds.RetrySlack': '54',
  'Bounds.RetryWindowS': '10',
};

/** Renders the template with the fields of one instance in a single failure domain. */
export async function fillTemplate(fields: Readonly<Record<string, string>>): Promise<string> {
  const template = await readFile(join('platform', 'settings.yaml.template'), 'utf8');
  const values: Readonly<Record<string, string>> = { ...BOUNDS, ...fields };
  return template
    .replace(
      /\{\{#Zones\}\}\n([\s\S]*?)\{\{\/Zones\}\}\n/,
      `    ${values.Zone}: ${values.Region}\n`,
    )
    .replace(/\{\{#([\w.]+)\}\}\n([\s\S]*?)\{\{\/\1\}\}\n/g, (_, name: string, section: string) =>
      (values[name] ?? '') === '' ? '' : section,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, name: string) => values[name] ?? '');
}
