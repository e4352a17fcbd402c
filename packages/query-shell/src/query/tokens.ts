/** Tokenizer of queries. */

/** Word, operator, comma or pipe; quotes around a word are removed. */
export interface Token {
  readonly text: string;
  /** Offset of the first character in the text, including a quote. */
  readonly offset: number;
}

/** Splits a text into tokens. */
export const tokenize = (text: string): readonly Token[] =>
  [...text.matchAll(/"([^"]*)"|!=|<=|>=|[=<>~|,]|[^\s=<>~|,!"]+|\S/g)].map((match) => ({
    text: match[1] ?? match[0],
    offset: match.index,
  }));

/** Splits tokens at the pipes between the stages of a query. */
export const splitAtPipes = (tokens: readonly Token[]): readonly (readonly Token[])[] => {
  const stages: Token[][] = [[]];
  for (const token of tokens) {
    if (token.text === '|') stages.push([]);
    else stages.at(-1)?.push(token);
  }
  return stages;
};
