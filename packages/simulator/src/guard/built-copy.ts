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

/** A copy of the built workspace, in which one guard can be taken out. */
export interface BuiltCopy {
  readonly root: string;
  readonly remove: () => void;
}

export const copyBuilt = (root: string): BuiltCopy => {
  const place = mkdtempSync(join(tmpdir(), 'guards-'));
  const drop = (): void => rmSync(place, { recursive: true, force: true });
  mkdirSync(join(place, 'node_modules', '@switchwheel'), { recursive: true });
  for (const name of readdirSync(join(root, 'node_modules'))) {
    if (name !== '@switchwheel' && name !== '.bin')
      symlinkSync(join(root, 'node_modules', name), join(place, 'node_modules', name));
  }
  for (const name of readdirSync(join(root, 'packages')).filter((one) =>
    existsSync(join(root, 'packages', one, 'dist')),
  )) {
    const from = join(root, 'packages', name);
    const to = join(place, 'packages', name);
    mkdirSync(to, { recursive: true });
    cpSync(join(from, 'package.json'), join(to, 'package.json'));
    cpSync(join(from, 'dist'), join(to, 'dist'), { recursive: true });
    symlinkSync(to, join(place, 'node_modules', '@switchwheel', name));
  }
  return { root: place, remove: drop };
};

/** Where a text stands in another one. */
interface TextRange {
  readonly start: number;
  readonly end: number;
}

/** Every place where a text stands, white space left out of account on both sides. */
const occurrencesOf = (text: string, sought: string): readonly TextRange[] => {
  const positions = [...text.matchAll(/\S/gu)].map((one) => one.index);
  const dense = positions.map((at) => text.charAt(at)).join('');
  const needle = sought.replace(/\s/gu, '');
  const places: TextRange[] = [];
  for (let at = dense.indexOf(needle); at >= 0; at = dense.indexOf(needle, at + 1)) {
    const start = positions[at];
    const last = positions[at + needle.length - 1];
    if (start !== undefined && last !== undefined) places.push({ start, end: last + 1 });
  }
  return places;
};

/** Why a guard can't be taken out; nothing if it can. */
export const guardError = (root: string, guard: Guard): string | undefined => {
  const path = join(root, 'packages', guard.file);
  if (!existsSync(path)) return `${guard.file}: not there, for the guard "${guard.name}"`;
  const many = occurrencesOf(readFileSync(path, 'utf8'), guard.from).length;
  return many === 1
    ? undefined
    : `${guard.file}: the text of the guard "${guard.name}" stands there ${many} times, not once`;
};

/** Takes a guard out of a copy; gives what puts it back. */
export const removeGuard = (copy: BuiltCopy, guard: Guard): (() => void) => {
  const path = join(copy.root, 'packages', guard.file);
  const text = readFileSync(path, 'utf8');
  const place = occurrencesOf(text, guard.from)[0];
  if (place === undefined) throw new Error(`${guard.name}: its text is not there`);
  writeFileSync(path, text.slice(0, place.start) + guard.to + text.slice(place.end));
  return () => writeFileSync(path, text);
};
