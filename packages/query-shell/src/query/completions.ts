/** Completion of queries in the interactive shell. */

import { tables } from '../table/tables.js';
import { stageNames } from './query.js';

/** Returns the words that can follow at the end of a line, without a filter by the word that is being typed. */
export const completions = (line: string): readonly string[] => {
  const lastStage = line.slice(line.lastIndexOf('|') + 1).trimStart();
  const table = tables.get(line.split('|')[0]?.trim() ?? '');
  if (!line.includes('|')) return [...tables.keys(), 'help', 'quit'];
  if (!lastStage.includes(' ')) return [...stageNames];
  return [...(table?.columns ?? []), 'and', 'by', 'desc'];
};
