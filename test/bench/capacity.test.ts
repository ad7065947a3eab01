import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { fitLine } from '../../src/bench/capacity/fit.js';
import { renderCapacity } from '../../src/bench/capacity/page.js';
import { SLOPES_PATH, type SlopesFile } from '../../src/bench/capacity/slopesFile.js';

describe('capacity page', () => {
  it('matches the page rendered from the measured slopes', async () => {
    const slopes = JSON.parse(await readFile(SLOPES_PATH, 'utf8')) as SlopesFile;
    expect(await readFile('docs/CAPACITY.md', 'utf8')).to.equal(renderCapacity(slopes));
  });

  it('fits a line by least squares', () => {
    const line = fitLine([
      [0, 1],
      [1, 3],
      [2, 5],
    ]);
    expect(line.slope).to.be.closeTo(2, 1e-12);
    expect(line.intercept).to.be.closeTo(1, 1e-12);
    expect(line.residual).to.be.closeTo(0, 1e-12);
  });
});
