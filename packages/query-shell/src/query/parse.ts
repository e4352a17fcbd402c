/** Parser of queries. Errors carry the offset of the mistake in the text. */

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
import { type Token, splitAtPipes, tokenize } from './tokens.js';

const operators: readonly Operator[] = ['!=', '<=', '>=', '=', '<', '>', '~'];
/** Column, operator, value, and the "and" before the next condition. */
const tokensPerCondition = 4;
const minFollowMs = 100;
const defaultFollow = '2s';

/** Parsed stage, and the columns of the rows that it returns. */
interface ParsedStage {
  readonly stage: Stage;
  readonly columns: readonly string[];
}

/** Parses the arguments of a stage; `inputColumns` are the columns of its input, `endOffset` the length of the query. */
type StageParser = (
  args: readonly Token[],
  inputColumns: readonly string[],
  endOffset: number,
) => Result<ParsedStage, QueryError>;

const queryError = (offset: number, text: string): Result<never, QueryError> =>
  err({ offset, text });

const parseColumns = (
  tokens: readonly Token[],
  inputColumns: readonly string[],
): Result<readonly string[], QueryError> => {
  const names = tokens.filter((token) => token.text !== ',');
  const unknownName = names.find((token) => !inputColumns.includes(token.text));
  return unknownName === undefined
    ? ok(names.map((token) => token.text))
    : queryError(
        unknownName.offset,
        `unknown column ${unknownName.text}${suggestion(unknownName.text, inputColumns)}`,
      );
};

const parseConditions = (
  tokens: readonly Token[],
  inputColumns: readonly string[],
  endOffset: number,
): Result<readonly Condition[], QueryError> => {
  const conditions: Condition[] = [];
  for (let index = 0; index < tokens.length; index += tokensPerCondition) {
    const [column, operatorToken, value, conjunction] = tokens.slice(
      index,
      index + tokensPerCondition,
    );
    if (column === undefined) break;
    if (!inputColumns.includes(column.text))
      return queryError(
        column.offset,
        `unknown column ${column.text}${suggestion(column.text, inputColumns)}`,
      );
    const operator = operators.find((candidate) => candidate === operatorToken?.text);
    if (operator === undefined)
      return queryError(
        operatorToken?.offset ?? endOffset,
        `expected an operator after ${column.text}: one of ${operators.join(' ')}`,
      );
    if (value === undefined)
      return queryError(endOffset, `missing value after ${column.text} ${operator}`);
    if (conjunction !== undefined && conjunction.text !== 'and')
      return queryError(
        conjunction.offset,
        `expected "and" between conditions, got ${conjunction.text}`,
      );
    if (conjunction !== undefined && index + tokensPerCondition >= tokens.length)
      return queryError(endOffset, 'expected another condition after "and"');
    conditions.push({ column: column.text, operator, value: value.text });
  }
  return conditions.length === 0
    ? queryError(
        endOffset,
        'missing condition after where; for example: where role = edge and ready = false',
      )
    : ok(conditions);
};

const parseWhere: StageParser = (args, inputColumns, endOffset) =>
  parseConditions(args, inputColumns, endOffset).map((conditions) => ({
    stage: { stage: 'where', conditions },
    columns: inputColumns,
  }));

const parseSelect: StageParser = (args, inputColumns, endOffset) => {
  const columns = parseColumns(args, inputColumns);
  if (columns.isErr) return err(columns.error);
  if (columns.value.length === 0)
    return queryError(
      endOffset,
      `missing columns after select; available: ${inputColumns.join(', ')}`,
    );
  return ok({ stage: { stage: 'select', columns: columns.value }, columns: columns.value });
};

const parseSort: StageParser = (args, inputColumns, endOffset) => {
  const [column, direction, extra] = args;
  if (column === undefined)
    return queryError(
      endOffset,
      `missing column after sort; expected one of ${inputColumns.join(', ')}`,
    );
  if (!inputColumns.includes(column.text))
    return queryError(
      column.offset,
      `unknown column ${column.text}${suggestion(column.text, inputColumns)}`,
    );
  if (direction !== undefined && direction.text !== 'desc' && direction.text !== 'asc')
    return queryError(direction.offset, `expected asc or desc, got ${direction.text}`);
  if (extra !== undefined)
    return queryError(extra.offset, `unexpected text after ${direction?.text ?? column.text}`);
  const isDescending = direction?.text === 'desc';
  return ok({ stage: { stage: 'sort', column: column.text, isDescending }, columns: inputColumns });
};

const parseCount: StageParser = (args, inputColumns) =>
  parseColumns(args[0]?.text === 'by' ? args.slice(1) : args, inputColumns).map((by) => ({
    stage: { stage: 'count', by },
    columns: [...by, 'count'],
  }));

const parseLimit: StageParser = (args, inputColumns, endOffset) => {
  const maxRows = Number(args[0]?.text);
  if (!Number.isSafeInteger(maxRows) || maxRows < 1)
    return queryError(args[0]?.offset ?? endOffset, 'limit expects an integer of at least 1');
  return ok({ stage: { stage: 'limit', maxRows }, columns: inputColumns });
};

const stageParsers: ReadonlyMap<string, StageParser> = new Map([
  ['where', parseWhere],
  ['select', parseSelect],
  ['sort', parseSort],
  ['count', parseCount],
  ['limit', parseLimit],
]);

/** Parses the interval of `follow`; returns milliseconds. */
const parseFollow = (args: readonly Token[], endOffset: number): Result<number, QueryError> => {
  const match = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(args[0]?.text ?? defaultFollow);
  const followMs = match === null ? NaN : Number(match[1]) * (match[2] === 'ms' ? 1 : 1000);
  return followMs >= minFollowMs
    ? ok(followMs)
    : queryError(
        args[0]?.offset ?? endOffset,
        `follow expects an interval of at least ${minFollowMs}ms, such as ${defaultFollow}`,
      );
};

/** Parses the name of the table that a query starts with. */
const parseTable = (
  tokens: readonly Token[],
): Result<{ readonly name: string; readonly columns: readonly string[] }, QueryError> => {
  const [name, extra] = tokens;
  const tableNames = [...tables.keys()];
  if (name === undefined)
    return queryError(0, `missing table; expected one of ${tableNames.join(', ')}`);
  const table = tables.get(name.text);
  if (table === undefined)
    return queryError(
      name.offset,
      `unknown table ${name.text}${suggestion(name.text, tableNames)}`,
    );
  if (extra !== undefined)
    return queryError(
      extra.offset,
      `missing "|" before the stage after ${name.text}; ${suggestion(extra.text, stageNames).slice(2)}`,
    );
  return ok({ name: name.text, columns: table.columns });
};

/** Parses a query: a table, then stages separated by `|`. */
export const parseQuery = (text: string): Result<Query, QueryError> => {
  const [tableTokens = [], ...stageTokens] = splitAtPipes(tokenize(text));
  const table = parseTable(tableTokens);
  if (table.isErr) return err(table.error);
  const endOffset = text.length;
  const stages: Stage[] = [];
  let { columns } = table.value;
  let followMs: number | undefined;
  for (const [stageName, ...args] of stageTokens) {
    if (stageName === undefined)
      return queryError(
        endOffset,
        `missing stage after "|"; expected one of ${stageNames.join(', ')}`,
      );
    if (followMs !== undefined)
      return queryError(stageName.offset, 'follow must be the last stage');
    if (stageName.text === 'follow') {
      const follow = parseFollow(args, endOffset);
      if (follow.isErr) return err(follow.error);
      followMs = follow.value;
      continue;
    }
    const parse = stageParsers.get(stageName.text);
    if (parse === undefined)
      return queryError(
        stageName.offset,
        `unknown stage ${stageName.text}${suggestion(stageName.text, stageNames)}`,
      );
    const parsed = parse(args, columns, endOffset);
    if (parsed.isErr) return err(parsed.error);
    stages.push(parsed.value.stage);
    columns = parsed.value.columns;
  }
  return ok({ table: table.value.name, stages, followMs });
};
