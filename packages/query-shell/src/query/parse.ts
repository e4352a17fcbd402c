/** Parses the text of a query, and says where and why it is wrong. */

import { type Result, err, ok } from 'true-myth/result';
import { tables } from '../table/tables.js';
import {
  type Condition,
  type Operator,
  type Query,
  type QueryError,
  type Stage,
  stageNames,
} from './query.js';
import { suggestion } from './suggestion.js';
import { type Token, splitAtBars, tokenize } from './tokens.js';

// Longer operators first: none is taken for the beginning of another.
const operators: readonly Operator[] = ['!=', '<=', '>=', '=', '<', '>', '~'];
/** Column, operator, value, and the "and" before the next condition. */
const conditionLength = 4;
const minFollowMs = 100;
const defaultFollow = '2s';

/** A parsed stage and the columns of the rows that come out of it. */
interface ParsedStage {
  readonly stage: Stage;
  readonly columns: readonly string[];
}

/** Parses what follows a stage's name; `known` are the columns that go in, `end` the length of the whole query. */
type StageParser = (
  args: readonly Token[],
  known: readonly string[],
  end: number,
) => Result<ParsedStage, QueryError>;

const queryError = (offset: number, text: string): Result<never, QueryError> =>
  err({ offset, text });

const parseColumns = (
  tokens: readonly Token[],
  known: readonly string[],
): Result<readonly string[], QueryError> => {
  const names = tokens.filter((one) => one.text !== ',');
  const unknownName = names.find((one) => !known.includes(one.text));
  return unknownName === undefined
    ? ok(names.map((one) => one.text))
    : queryError(
        unknownName.offset,
        `no column ${unknownName.text}${suggestion(unknownName.text, known)}`,
      );
};

const parseConditions = (
  tokens: readonly Token[],
  known: readonly string[],
  end: number,
): Result<readonly Condition[], QueryError> => {
  const conditions: Condition[] = [];
  for (let at = 0; at < tokens.length; at += conditionLength) {
    const [column, operatorToken, value, conjunction] = tokens.slice(at, at + conditionLength);
    if (column === undefined) break;
    if (!known.includes(column.text))
      return queryError(column.offset, `no column ${column.text}${suggestion(column.text, known)}`);
    const operator = operators.find((candidate) => candidate === operatorToken?.text);
    if (operator === undefined)
      return queryError(
        operatorToken?.offset ?? end,
        `after ${column.text} comes one of ${operators.join(' ')}`,
      );
    if (value === undefined) return queryError(end, `${column.text} ${operator} what?`);
    if (conjunction !== undefined && conjunction.text !== 'and')
      return queryError(conjunction.offset, `between tests stands "and", not ${conjunction.text}`);
    if (conjunction !== undefined && at + conditionLength >= tokens.length)
      return queryError(end, 'after "and" comes another test');
    conditions.push({ column: column.text, operator, value: value.text });
  }
  return conditions.length === 0
    ? queryError(end, 'where what? for example: where role = edge and ready = false')
    : ok(conditions);
};

const parseWhere: StageParser = (args, known, end) =>
  parseConditions(args, known, end).map((conditions) => ({
    stage: { stage: 'where', conditions },
    columns: known,
  }));

const parseSelect: StageParser = (args, known, end) => {
  const columns = parseColumns(args, known);
  if (columns.isErr) return err(columns.error);
  if (columns.value.length === 0)
    return queryError(end, `select what? some of ${known.join(', ')}`);
  return ok({ stage: { stage: 'select', columns: columns.value }, columns: columns.value });
};

const parseSort: StageParser = (args, known, end) => {
  const [column, direction, extra] = args;
  if (column === undefined) return queryError(end, `sort by what? one of ${known.join(', ')}`);
  if (!known.includes(column.text))
    return queryError(column.offset, `no column ${column.text}${suggestion(column.text, known)}`);
  if (direction !== undefined && direction.text !== 'desc' && direction.text !== 'asc')
    return queryError(direction.offset, `asc or desc, not ${direction.text}`);
  if (extra !== undefined)
    return queryError(extra.offset, `nothing more behind ${direction?.text ?? column.text}`);
  const isDescending = direction?.text === 'desc';
  return ok({ stage: { stage: 'sort', column: column.text, isDescending }, columns: known });
};

const parseCount: StageParser = (args, known) =>
  parseColumns(args[0]?.text === 'by' ? args.slice(1) : args, known).map((by) => ({
    stage: { stage: 'count', by },
    columns: [...by, 'count'],
  }));

const parseLimit: StageParser = (args, known, end) => {
  const maxRows = Number(args[0]?.text);
  if (!Number.isSafeInteger(maxRows) || maxRows < 1)
    return queryError(args[0]?.offset ?? end, 'limit takes a whole number from 1');
  return ok({ stage: { stage: 'limit', maxRows }, columns: known });
};

const stageParsers: ReadonlyMap<string, StageParser> = new Map([
  ['where', parseWhere],
  ['select', parseSelect],
  ['sort', parseSort],
  ['count', parseCount],
  ['limit', parseLimit],
]);

/** The pause of `follow` in milliseconds. */
const parseFollow = (args: readonly Token[], end: number): Result<number, QueryError> => {
  const match = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(args[0]?.text ?? defaultFollow);
  const followMs = match === null ? NaN : Number(match[1]) * (match[2] === 'ms' ? 1 : 1000);
  return followMs >= minFollowMs
    ? ok(followMs)
    : queryError(
        args[0]?.offset ?? end,
        `follow takes a time of ${minFollowMs}ms or more, such as ${defaultFollow}`,
      );
};

/** The table that a query begins with, and its columns. */
const parseTable = (
  tokens: readonly Token[],
): Result<{ readonly name: string; readonly columns: readonly string[] }, QueryError> => {
  const [name, extra] = tokens;
  const tableNames = [...tables.keys()];
  if (name === undefined) return queryError(0, `which table? one of ${tableNames.join(', ')}`);
  const table = tables.get(name.text);
  if (table === undefined)
    return queryError(name.offset, `no table ${name.text}${suggestion(name.text, tableNames)}`);
  if (extra !== undefined)
    return queryError(
      extra.offset,
      `stages stand behind a bar: ${name.text} | ${suggestion(extra.text, stageNames).slice(2)}`,
    );
  return ok({ name: name.text, columns: table.columns });
};

/** Parses a query: a table, then stages behind bars. */
export const parseQuery = (text: string): Result<Query, QueryError> => {
  const [head = [], ...rest] = splitAtBars(tokenize(text));
  const table = parseTable(head);
  if (table.isErr) return err(table.error);
  const end = text.length;
  const stages: Stage[] = [];
  let { columns } = table.value;
  let followMs: number | undefined;
  for (const [verb, ...args] of rest) {
    if (verb === undefined)
      return queryError(end, `a bar with nothing behind it; one of ${stageNames.join(', ')}`);
    if (followMs !== undefined) return queryError(verb.offset, 'follow comes last');
    if (verb.text === 'follow') {
      const follow = parseFollow(args, end);
      if (follow.isErr) return err(follow.error);
      followMs = follow.value;
      continue;
    }
    const parse = stageParsers.get(verb.text);
    if (parse === undefined)
      return queryError(verb.offset, `no stage ${verb.text}${suggestion(verb.text, stageNames)}`);
    const parsed = parse(args, columns, end);
    if (parsed.isErr) return err(parsed.error);
    stages.push(parsed.value.stage);
    columns = parsed.value.columns;
  }
  return ok({ table: table.value.name, stages, followMs });
};
