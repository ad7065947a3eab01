import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { expect } from 'chai';
import { parseInitialView } from '../../src/configuration/initialView.js';

describe('initial view', () => {
  it('has a version below those of the log and below -1, which means no configuration', async () => {
    const result = parseInitialView(await readFile(join('examples', 'lembah-salju.yaml'), 'utf8'));
    expect(result.kind === 'view' && result.view.version).to.be.lessThan(-1);
  });
});
