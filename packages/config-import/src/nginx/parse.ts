/** Parser of nginx configurations and their includes; each directive keeps its file and line. */

import { readFileSync, readdirSync } from 'node:fs';
import { dirname, isAbsolute, join } from 'node:path';
import { NginxParser } from 'nginx-conf';
import { type Result, err, ok } from 'true-myth/result';

/** Directive with its position; `block` holds the directives between its braces. */
export interface Directive {
  readonly name: string;
  readonly args: readonly string[];
  readonly file: string;
  readonly line: number;
  readonly block: readonly Directive[] | undefined;
}

/** Reason why a configuration can't be read, with the position. */
export interface NginxReadError {
  readonly file: string;
  readonly line: number;
  readonly text: string;
}

type SyntaxTree = NonNullable<Parameters<NonNullable<Parameters<NginxParser['parse']>[1]>>[1]>;

/** Maximum nesting of includes, as protection against include loops. */
const maxIncludeDepth = 16;

/** Parser of the library, extended to record the line of each token, which its syntax tree lacks. */
class LineTrackingParser extends NginxParser {
  readonly tokens: { readonly text: string; readonly line: number }[] = [];
  readonly #text: string;
  #cursor = 0;
  #line = 1;

  constructor(text: string) {
    super();
    this.#text = text;
  }

  /** Advances past the next occurrence of a token and returns the line on which the token starts. */
  #advancePast(token: string): number {
    const start = Math.max(this.#cursor, this.#text.indexOf(token, this.#cursor));
    this.#line += (this.#text.slice(this.#cursor, start).match(/\n/g) ?? []).length;
    const line = this.#line;
    this.#line += (token.match(/\n/g) ?? []).length;
    this.#cursor = start + token.length;
    return line;
  }

  /** Line of the last token that was read. */
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
  [...value.matchAll(/"([^"]*)"|'([^']*)'|\S+/g)].map((match) => match[1] ?? match[2] ?? match[0]);

const areBlocksClosed = (text: string): boolean => {
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
  const fail = (line: number, reason: string): Result<readonly Directive[], NginxReadError> =>
    err({ file, line, text: reason });
  let result: Result<readonly Directive[], NginxReadError> = err({
    file,
    line: 1,
    text: 'the file contains no directives',
  });
  try {
    // The library accepts an unclosed block. If all blocks are closed, it rejects one more closing brace.
    if (!areBlocksClosed(text))
      return fail(text.split('\n').length, 'block is not closed; expected "}"');
    parser.parse(text, (fault, tree) => {
      if (fault !== null || tree === undefined) {
        const line =
          fault !== null && 'line' in fault && typeof fault.line === 'number' ? fault.line : 1;
        result = err({ file, line, text: fault?.message ?? 'syntax error' });
        return;
      }
      let tokenIndex = 0;
      const toDirective = (node: SyntaxTree): Directive => {
        while (
          tokenIndex < parser.tokens.length &&
          parser.tokens[tokenIndex]?.text !== node.name.trim()
        )
          tokenIndex += 1;
        const line = parser.tokens[tokenIndex]?.line ?? 1;
        const args = splitArguments(node.value);
        tokenIndex += 1 + args.length;
        return {
          name: node.name,
          args,
          file,
          line,
          block: node.isBlock ? (node.children ?? []).map(toDirective) : undefined,
        };
      };
      result = ok((tree.children ?? []).map(toDirective));
    });
  } catch {
    return fail(parser.line, 'unexpected "}"');
  }
  return result;
};

const includedFiles = (includingFile: string, pattern: string): readonly string[] => {
  const fullPattern = isAbsolute(pattern) ? pattern : join(dirname(includingFile), pattern);
  if (!pattern.includes('*')) return [fullPattern];
  const namePattern = new RegExp(
    `^${fullPattern
      .slice(fullPattern.lastIndexOf('/') + 1)
      .split('*')
      .map((literal) => literal.replace(/[.+?^${}()|[\]\\]/g, '\\$&'))
      .join('.*')}$`,
  );
  try {
    return readdirSync(dirname(fullPattern))
      .filter((name) => namePattern.test(name))
      .sort()
      .map((name) => join(dirname(fullPattern), name));
  } catch {
    return [];
  }
};

/** Reads a file and its includes; `includedFrom` and `depth` are the position and nesting of the `include` of the file. */
export const readNginx = (
  file: string,
  includedFrom: Pick<Directive, 'file' | 'line'> = { file, line: 1 },
  depth = 0,
): Result<readonly Directive[], NginxReadError> => {
  if (depth > maxIncludeDepth)
    return err({
      ...includedFrom,
      text: 'includes are nested too deeply; an include loop is likely',
    });
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return err({
      ...includedFrom,
      text: depth === 0 ? 'cannot read file' : `cannot read included file ${file}`,
    });
  }
  const parsed = parseDirectives(file, text);
  return parsed.isErr ? parsed : expandIncludes(parsed.value, depth);
};

const expandIncludes = (
  directives: readonly Directive[],
  depth: number,
): Result<readonly Directive[], NginxReadError> => {
  const expanded: Directive[] = [];
  for (const directive of directives) {
    if (directive.name === 'include') {
      for (const file of includedFiles(directive.file, directive.args[0] ?? '')) {
        const included = readNginx(file, directive, depth + 1);
        if (included.isErr) return included;
        expanded.push(...included.value);
      }
    } else if (directive.block === undefined) expanded.push(directive);
    else {
      const block = expandIncludes(directive.block, depth);
      if (block.isErr) return block;
      expanded.push({ ...directive, block: block.value });
    }
  }
  return ok(expanded);
};
