import { type Result, err, ok } from 'true-myth/result';
import { type Cell, type Row, tables } from '../table/tables.js';

/** Where a query is wrong, and what may have been meant. */
export interface QueryError {
  readonly offset: number;
  readonly text: string;
}

type Operator = '=' | '!=' | '<' | '>' | '<=' | '>=' | '~';
const operators: readonly Operator[] = ['!=', '<=', '>=', '=', '<', '>', '~'];

interface Condition {
  readonly column: string;
  readonly operator: Operator;
  readonly value: string;
}
type Stage =
  | { readonly stage: 'where'; readonly conditions: readonly Condition[] }
  | { readonly stage: 'select'; readonly columns: readonly string[] }
  | { readonly stage: 'sort'; readonly column: string; readonly isDescending: boolean }
  | { readonly stage: 'count'; readonly by: readonly string[] }
  | { readonly stage: 'limit'; readonly maxRows: number };

/** A query: one table, stages in order, and how often to ask again. */
export interface Query {
  readonly table: string;
  readonly stages: readonly Stage[];
  readonly followMs: number | undefined;
}

interface Token {
  readonly text: string;
  readonly offset: number;
}

const stageNames = ['where', 'select', 'sort', 'count', 'limit', 'follow'] as const;

/** How unlike two words are, for suggestions. */
const editDistance = (one: string, two: string): number => {
  let row = Array.from({ length: two.length + 1 }, (_, at) => at);
  for (let a = 1; a <= one.length; a += 1) {
    const next = [a];
    for (let b = 1; b <= two.length; b += 1)
      next.push(
        Math.min(
          (next[b - 1] ?? 0) + 1,
          (row[b] ?? 0) + 1,
          (row[b - 1] ?? 0) + (one[a - 1] === two[b - 1] ? 0 : 1),
        ),
      );
    row = next;
  }
  return row[two.length] ?? 0;
};

const suggestion = (word: string, candidates: readonly string[]): string => {
  const best = [...candidates].sort(
    (one, two) => editDistance(word, one) - editDistance(word, two),
  )[0];
  return best !== undefined && editDistance(word, best) <= 3
    ? `; did you mean ${best}?`
    : `; one of ${candidates.join(', ')}`;
};

const tokenize = (text: string): readonly Token[] =>
  [...text.matchAll(/"([^"]*)"|!=|<=|>=|[=<>~|,]|[^\s=<>~|,!"]+|\S/g)].map((found) => ({
    text: found[1] ?? found[0],
    offset: found.index,
  }));

const queryError = (offset: number, text: string): Result<never, QueryError> =>
  err({ offset, text });

/** Cuts the words of a query at its bars. */
const splitAtBars = (tokens: readonly Token[]): readonly (readonly Token[])[] => {
  const out: Token[][] = [[]];
  for (const word of tokens) {
    if (word.text === '|') out.push([]);
    else out.at(-1)?.push(word);
  }
  return out;
};

const parseColumns = (
  tokens: readonly Token[],
  known: readonly string[],
): Result<readonly string[], QueryError> => {
  const names = tokens.filter((one) => one.text !== ',');
  const odd = names.find((one) => !known.includes(one.text));
  return odd === undefined
    ? ok(names.map((one) => one.text))
    : queryError(odd.offset, `no column ${odd.text}${suggestion(odd.text, known)}`);
};

const parseConditions = (
  tokens: readonly Token[],
  known: readonly string[],
  end: number,
): Result<readonly Condition[], QueryError> => {
  const tests: Condition[] = [];
  for (let at = 0; at < tokens.length; at += 4) {
    const [column, sign, value, more] = tokens.slice(at, at + 4);
    if (column === undefined) break;
    if (!known.includes(column.text))
      return queryError(column.offset, `no column ${column.text}${suggestion(column.text, known)}`);
    const found = operators.find((one) => one === sign?.text);
    if (found === undefined)
      return queryError(
        sign?.offset ?? end,
        `after ${column.text} comes one of ${operators.join(' ')}`,
      );
    if (value === undefined) return queryError(end, `${column.text} ${found} what?`);
    if (more !== undefined && more.text !== 'and')
      return queryError(more.offset, `between tests stands "and", not ${more.text}`);
    if (more !== undefined && at + 4 >= tokens.length)
      return queryError(end, 'after "and" comes another test');
    tests.push({ column: column.text, operator: found, value: value.text });
  }
  return tests.length === 0
    ? queryError(end, 'where what? for example: where role = edge and ready = false')
    : ok(tests);
};

/** Reads a query. */
export const parseQuery = (text: string): Result<Query, QueryError> => {
  const [head, ...rest] = splitAtBars(tokenize(text));
  const name = head?.[0];
  if (name === undefined)
    return queryError(0, `which table? one of ${[...tables.keys()].join(', ')}`);
  const table = tables.get(name.text);
  if (table === undefined)
    return queryError(
      name.offset,
      `no table ${name.text}${suggestion(name.text, [...tables.keys()])}`,
    );
  const extra = head?.[1];
  if (extra !== undefined)
    return queryError(
      extra.offset,
      `stages stand behind a bar: ${name.text} | ${suggestion(extra.text, stageNames).slice(2)}`,
    );
  let known = table.columns;
  const stages: Stage[] = [];
  let followMs: number | undefined;
  for (const part of rest) {
    const [verb, ...args] = part;
    if (verb === undefined)
      return queryError(
        text.length,
        `a bar with nothing behind it; one of ${stageNames.join(', ')}`,
      );
    if (followMs !== undefined) return queryError(verb.offset, 'follow comes last');
    const end = text.length;
    switch (verb.text) {
      case 'where': {
        const tests = parseConditions(args, known, end);
        if (tests.isErr) return err(tests.error);
        stages.push({ stage: 'where', conditions: tests.value });
        break;
      }
      case 'select': {
        const columns = parseColumns(args, known);
        if (columns.isErr) return err(columns.error);
        if (columns.value.length === 0)
          return queryError(end, `select what? some of ${known.join(', ')}`);
        known = columns.value;
        stages.push({ stage: 'select', columns: columns.value });
        break;
      }
      case 'sort': {
        const [column, way, more] = args;
        if (column === undefined)
          return queryError(end, `sort by what? one of ${known.join(', ')}`);
        if (!known.includes(column.text))
          return queryError(
            column.offset,
            `no column ${column.text}${suggestion(column.text, known)}`,
          );
        if (way !== undefined && way.text !== 'desc' && way.text !== 'asc')
          return queryError(way.offset, `asc or desc, not ${way.text}`);
        if (more !== undefined)
          return queryError(more.offset, `nothing more behind ${way?.text ?? column.text}`);
        stages.push({ stage: 'sort', column: column.text, isDescending: way?.text === 'desc' });
        break;
      }
      case 'count': {
        const by = args[0]?.text === 'by' ? args.slice(1) : args;
        const columns = parseColumns(by, known);
        if (columns.isErr) return err(columns.error);
        known = [...columns.value, 'count'];
        stages.push({ stage: 'count', by: columns.value });
        break;
      }
      case 'limit': {
        const many = Number(args[0]?.text);
        if (!Number.isSafeInteger(many) || many < 1)
          return queryError(args[0]?.offset ?? end, 'limit takes a whole number from 1');
        stages.push({ stage: 'limit', maxRows: many });
        break;
      }
      case 'follow': {
        const found = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(args[0]?.text ?? '2s');
        const span = found === null ? NaN : Number(found[1]) * (found[2] === 'ms' ? 1 : 1000);
        if (!(span >= 100))
          return queryError(
            args[0]?.offset ?? end,
            'follow takes a time of 100ms or more, such as 2s',
          );
        followMs = span;
        break;
      }
      default:
        return queryError(verb.offset, `no stage ${verb.text}${suggestion(verb.text, stageNames)}`);
    }
  }
  return ok({ table: name.text, stages, followMs });
};

const compareCells = (one: Cell, two: Cell): number => {
  if (one === two) return 0;
  if (one === null) return 1;
  if (two === null) return -1;
  if (typeof one === 'number' && typeof two === 'number') return one - two;
  return String(one) < String(two) ? -1 : 1;
};

const matches = (row: Row, { column, operator, value }: Condition): boolean => {
  const cell = row.get(column) ?? null;
  const goal: Cell =
    typeof cell === 'number' && value !== '' && !Number.isNaN(Number(value))
      ? Number(value)
      : typeof cell === 'boolean'
        ? value === 'true'
        : value === '-'
          ? null
          : value;
  switch (operator) {
    case '=':
      return compareCells(cell, goal) === 0;
    case '!=':
      return compareCells(cell, goal) !== 0;
    case '~':
      return String(cell ?? '').includes(value);
    case '<':
      return cell !== null && compareCells(cell, goal) < 0;
    case '>':
      return cell !== null && compareCells(cell, goal) > 0;
    case '<=':
      return cell !== null && compareCells(cell, goal) <= 0;
    case '>=':
      return cell !== null && compareCells(cell, goal) >= 0;
  }
};

const countBy = (rows: readonly Row[], by: readonly string[]): readonly Row[] => {
  const groups = new Map<
    string,
    { readonly cells: readonly (readonly [string, Cell])[]; count: number }
  >();
  for (const row of rows) {
    const cells = by.map((name) => [name, row.get(name) ?? null] as const);
    const key = JSON.stringify(cells);
    const group = groups.get(key) ?? { cells, count: 0 };
    group.count += 1;
    groups.set(key, group);
  }
  if (by.length === 0) return [new Map<string, Cell>([['count', rows.length]])];
  return [...groups.values()].map(
    (one) => new Map<string, Cell>([...one.cells, ['count', one.count]]),
  );
};

/** Runs the stages of a query over the rows of its table. */
export const runQuery = (query: Query, rows: readonly Row[]): readonly Row[] =>
  query.stages.reduce<readonly Row[]>((list, stage) => {
    switch (stage.stage) {
      case 'where':
        return list.filter((row) => stage.conditions.every((test) => matches(row, test)));
      case 'select':
        return list.map(
          (row) => new Map(stage.columns.map((name) => [name, row.get(name) ?? null])),
        );
      case 'sort':
        return [...list].sort(
          (one, two) =>
            compareCells(one.get(stage.column) ?? null, two.get(stage.column) ?? null) *
            (stage.isDescending ? -1 : 1),
        );
      case 'count':
        return countBy(list, stage.by);
      case 'limit':
        return list.slice(0, stage.maxRows);
    }
  }, rows);

/** What may come next at the end of a line. */
export const completions = (line: string): readonly string[] => {
  const last = line.slice(line.lastIndexOf('|') + 1).trimStart();
  const table = tables.get(line.split('|')[0]?.trim() ?? '');
  if (!line.includes('|')) return [...tables.keys(), 'help', 'quit'];
  if (!last.includes(' ')) return [...stageNames];
  return [...(table?.columns ?? []), 'and', 'by', 'desc'];
};
