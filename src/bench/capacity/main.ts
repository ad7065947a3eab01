/** `npm run capacity`: writes docs/CAPACITY.md from docs/slopes.json. */
import { readFileSync, writeFileSync } from 'node:fs';
import { renderCapacity } from './page.js';
import { SLOPES_PATH, type SlopesFile } from './slopesFile.js';

const PAGE_PATH = 'docs/CAPACITY.md';

const slopes = JSON.parse(readFileSync(SLOPES_PATH, 'utf8')) as SlopesFile;
writeFileSync(PAGE_PATH, renderCapacity(slopes));
console.log(`wrote ${PAGE_PATH}`);
