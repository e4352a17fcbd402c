/** Splits the text of a query into tokens with their places. */

/** A word, operator, comma or bar; quotes around a word are taken off. */
export interface Token {
  readonly text: string;
  /** Where it begins in the text. */
  readonly offset: number;
}

/** All tokens of a text, in order. */
export const tokenize = (text: string): readonly Token[] =>
  [...text.matchAll(/"([^"]*)"|!=|<=|>=|[=<>~|,]|[^\s=<>~|,!"]+|\S/g)].map((found) => ({
    text: found[1] ?? found[0],
    offset: found.index,
  }));

/** Splits tokens at the bars between the stages of a query. */
export const splitAtBars = (tokens: readonly Token[]): readonly (readonly Token[])[] => {
  const stages: Token[][] = [[]];
  for (const token of tokens) {
    if (token.text === '|') stages.push([]);
    else stages.at(-1)?.push(token);
  }
  return stages;
};
