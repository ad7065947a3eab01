import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { expect } from 'chai';
import { parseInitialView } from '../../src/configuration/initialView.js';

describe('initial view', () => {
  it('is older than any version of the log and told apart from none', async () => {
    const result = parseInitialView(await readFile(join('examples', 'lembah-salju.yaml'), 'utf8'));
    expect(result.kind === 'view' && result.view.version).to.be.lessThan(-1);
  });
});
