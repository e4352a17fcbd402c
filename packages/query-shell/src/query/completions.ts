/** Completion of the line that is being typed. */

import { tables } from '../table/tables.js';
import { stageNames } from './query.js';

/** What may come next at the end of a line. */
export const completions = (line: string): readonly string[] => {
  const last = line.slice(line.lastIndexOf('|') + 1).trimStart();
  const table = tables.get(line.split('|')[0]?.trim() ?? '');
  if (!line.includes('|')) return [...tables.keys(), 'help', 'quit'];
  if (!last.includes(' ')) return [...stageNames];
  return [...(table?.columns ?? []), 'and', 'by', 'desc'];
};
