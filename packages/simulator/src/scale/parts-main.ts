import { indexOf, quotaOf } from './parts.js';

for (const many of [12, 50, 200, 730]) process.stdout.write(`${quotaOf(many)}\n`);
// The first of them is not counted: code that has just started takes room of its own.
for (const many of [20_000, 20_000, 40_000, 80_000]) process.stdout.write(`${indexOf(many)}\n`);
