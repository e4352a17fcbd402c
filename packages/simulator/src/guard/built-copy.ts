/** Copies of the built workspace in which guards are removed. */

import {
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Guard } from './list.js';

/** A temporary copy of the built workspace. */
export interface BuiltCopy {
  readonly root: string;
  readonly remove: () => void;
}

/** Copies the built files of all packages to a temporary folder, which the caller removes. */
export const copyBuilt = (root: string): BuiltCopy => {
  const copyRoot = mkdtempSync(join(tmpdir(), 'guards-'));
  const removeCopy = (): void => rmSync(copyRoot, { recursive: true, force: true });
  mkdirSync(join(copyRoot, 'node_modules', '@switchwheel'), { recursive: true });
  for (const entryName of readdirSync(join(root, 'node_modules'))) {
    if (entryName !== '@switchwheel' && entryName !== '.bin')
      symlinkSync(join(root, 'node_modules', entryName), join(copyRoot, 'node_modules', entryName));
  }
  for (const entryName of readdirSync(join(root, 'packages')).filter((packageName) =>
    existsSync(join(root, 'packages', packageName, 'dist')),
  )) {
    const from = join(root, 'packages', entryName);
    const to = join(copyRoot, 'packages', entryName);
    mkdirSync(to, { recursive: true });
    cpSync(join(from, 'package.json'), join(to, 'package.json'));
    cpSync(join(from, 'dist'), join(to, 'dist'), { recursive: true });
    symlinkSync(to, join(copyRoot, 'node_modules', '@switchwheel', entryName));
  }
  return { root: copyRoot, remove: removeCopy };
};

/** Position of an occurrence in a text. */
interface TextRange {
  readonly start: number;
  readonly end: number;
}

/** Finds all occurrences of a pattern, ignoring white space on both sides. */
const occurrencesOf = (text: string, pattern: string): readonly TextRange[] => {
  const offsets = [...text.matchAll(/\S/gu)].map((match) => match.index);
  const compactText = offsets.map((offset) => text.charAt(offset)).join('');
  const compactPattern = pattern.replace(/\s/gu, '');
  const ranges: TextRange[] = [];
  for (
    let offset = compactText.indexOf(compactPattern);
    offset >= 0;
    offset = compactText.indexOf(compactPattern, offset + 1)
  ) {
    const start = offsets[offset];
    const lastOffset = offsets[offset + compactPattern.length - 1];
    if (start !== undefined && lastOffset !== undefined)
      ranges.push({ start, end: lastOffset + 1 });
  }
  return ranges;
};

/** Reason why a guard can't be removed; undefined if it can. */
export const guardError = (root: string, guard: Guard): string | undefined => {
  const path = join(root, 'packages', guard.file);
  if (!existsSync(path))
    return `${guard.file}: file not found, needed for the guard "${guard.name}"`;
  const occurrenceCount = occurrencesOf(readFileSync(path, 'utf8'), guard.from).length;
  return occurrenceCount === 1
    ? undefined
    : `${guard.file}: expected the text of the guard "${guard.name}" once, found it ${occurrenceCount} times`;
};

/** Removes a guard from a copy; returns the function that restores it. */
export const removeGuard = (copy: BuiltCopy, guard: Guard): (() => void) => {
  const path = join(copy.root, 'packages', guard.file);
  const originalText = readFileSync(path, 'utf8');
  const occurrence = occurrencesOf(originalText, guard.from)[0];
  if (occurrence === undefined) throw new Error(`text of the guard "${guard.name}" not found`);
  writeFileSync(
    path,
    originalText.slice(0, occurrence.start) + guard.to + originalText.slice(occurrence.end),
  );
  return () => writeFileSync(path, originalText);
};
