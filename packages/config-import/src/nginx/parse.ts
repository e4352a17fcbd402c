import { readFileSync, readdirSync } from 'node:fs';
import { dirname, isAbsolute, join } from 'node:path';
import { NginxParser } from 'nginx-conf';
import { type Result, err, ok } from 'true-myth/result';

/** One directive with its place. */
export interface Directive {
  readonly name: string;
  readonly args: readonly string[];
  readonly file: string;
  readonly line: number;
  readonly block: readonly Directive[] | undefined;
}

/** What made a file unreadable, and where. */
export interface NginxReadError {
  readonly file: string;
  readonly line: number;
  readonly text: string;
}

type SyntaxTree = NonNullable<Parameters<NonNullable<Parameters<NginxParser['parse']>[1]>>[1]>;

const maxDepth = 16;

/** The library's parser with the place of each word noted, as its tree bears none. */
class LineTrackingParser extends NginxParser {
  readonly tokens: { readonly text: string; readonly line: number }[] = [];
  readonly #text: string;
  #cursor = 0;
  #line = 1;

  constructor(text: string) {
    super();
    this.#text = text;
  }

  #advancePast(found: string): number {
    const at = Math.max(this.#cursor, this.#text.indexOf(found, this.#cursor));
    this.#line += (this.#text.slice(this.#cursor, at).match(/\n/g) ?? []).length;
    const line = this.#line;
    this.#line += (found.match(/\n/g) ?? []).length;
    this.#cursor = at + found.length;
    return line;
  }

  /** Where the parser stands. */
  get line(): number {
    return this.#line;
  }

  #recordToken(word: string): void {
    const line = this.#advancePast(word);
    const text = word.trim();
    if (text !== '') this.tokens.push({ text, line });
  }

  override readWord(): string {
    const word = super.readWord();
    this.#recordToken(word);
    return word;
  }

  override readString(): string {
    const word = super.readString();
    this.#recordToken(word);
    return word;
  }

  override readComment(): string {
    const text = super.readComment();
    this.#advancePast(text);
    return text;
  }
}

const splitArguments = (value: string): readonly string[] =>
  [...value.matchAll(/"([^"]*)"|'([^']*)'|\S+/g)].map((found) => found[1] ?? found[2] ?? found[0]);

const blocksAreClosed = (text: string): boolean => {
  try {
    new NginxParser().parse(`${text}\n}\nend;`);
    return false;
  } catch {
    return true;
  }
};

const parseDirectives = (
  file: string,
  text: string,
): Result<readonly Directive[], NginxReadError> => {
  const parser = new LineTrackingParser(text);
  const fail = (line: number, why: string): Result<readonly Directive[], NginxReadError> =>
    err({ file, line, text: why });
  let result: Result<readonly Directive[], NginxReadError> = err({
    file,
    line: 1,
    text: 'nothing in it',
  });
  try {
    // The library does not mind a block that is left open: where all are closed, one more closing brace is one too many.
    if (!blocksAreClosed(text)) return fail(text.split('\n').length, 'a block is not closed');
    parser.parse(text, (fault, tree) => {
      if (fault !== null || tree === undefined) {
        const line =
          fault !== null && 'line' in fault && typeof fault.line === 'number' ? fault.line : 1;
        result = err({ file, line, text: fault?.message ?? 'unreadable' });
        return;
      }
      let at = 0;
      const walk = (node: SyntaxTree): Directive => {
        while (at < parser.tokens.length && parser.tokens[at]?.text !== node.name.trim()) at += 1;
        const line = parser.tokens[at]?.line ?? 1;
        const args = splitArguments(node.value);
        at += 1 + args.length;
        return {
          name: node.name,
          args,
          file,
          line,
          block: node.isBlock ? (node.children ?? []).map(walk) : undefined,
        };
      };
      result = ok((tree.children ?? []).map(walk));
    });
  } catch {
    return fail(parser.line, 'a closing brace too many');
  }
  return result;
};

const includedFiles = (base: string, pattern: string): readonly string[] => {
  const full = isAbsolute(pattern) ? pattern : join(dirname(base), pattern);
  if (!pattern.includes('*')) return [full];
  const name = new RegExp(
    `^${full
      .slice(full.lastIndexOf('/') + 1)
      .split('*')
      .map((one) => one.replace(/[.+?^${}()|[\]\\]/g, '\\$&'))
      .join('.*')}$`,
  );
  try {
    return readdirSync(dirname(full))
      .filter((one) => name.test(one))
      .sort()
      .map((one) => join(dirname(full), one));
  } catch {
    return [];
  }
};

/** Reads a file with all that it includes. */
export const readNginx = (
  file: string,
  from: Pick<Directive, 'file' | 'line'> = { file, line: 1 },
  depth = 0,
): Result<readonly Directive[], NginxReadError> => {
  if (depth > maxDepth) return err({ ...from, text: 'includes go too deep' });
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return err({
      ...from,
      text: depth === 0 ? "the file can't be read" : `the included file ${file} can't be read`,
    });
  }
  const parsed = parseDirectives(file, text);
  return parsed.isErr ? parsed : expandIncludes(parsed.value, depth);
};

const expandIncludes = (
  list: readonly Directive[],
  depth: number,
): Result<readonly Directive[], NginxReadError> => {
  const out: Directive[] = [];
  for (const one of list) {
    if (one.name === 'include') {
      for (const file of includedFiles(one.file, one.args[0] ?? '')) {
        const inner = readNginx(file, one, depth + 1);
        if (inner.isErr) return inner;
        out.push(...inner.value);
      }
    } else if (one.block === undefined) out.push(one);
    else {
      const block = expandIncludes(one.block, depth);
      if (block.isErr) return block;
      out.push({ ...one, block: block.value });
    }
  }
  return ok(out);
};
