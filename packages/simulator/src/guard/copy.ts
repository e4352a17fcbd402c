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
export interface Copy {
  readonly root: string;
  readonly drop: () => void;
}

export const copyBuilt = (root: string): Copy => {
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
  return { root: place, drop };
};

/** Why a guard can't be taken out; nothing if it can. */
export const faultOf = (root: string, guard: Guard): string | undefined => {
  const many =
    readFileSync(join(root, 'packages', guard.file), 'utf8').split(guard.from).length - 1;
  return many === 1
    ? undefined
    : `${guard.file}: the text of the guard "${guard.name}" stands there ${many} times, not once`;
};

/** Takes a guard out of a copy; gives what puts it back. */
export const takeOut = (copy: Copy, guard: Guard): (() => void) => {
  const path = join(copy.root, 'packages', guard.file);
  const text = readFileSync(path, 'utf8');
  writeFileSync(
    path,
    text.replace(guard.from, () => guard.to),
  );
  return () => writeFileSync(path, text);
};
