/** Rules of operators' writes over a whole run: none that was accepted is lost, none that was refused took effect. */

import type { FinishedRun } from './finished-run.js';

/** Judges the writes by their replies and by what the primary holds in the end. */
// eslint-disable-next-line complexity -- independent checks in a row; optional chaining counts as branches
export const checkWrites = ({ world, violations }: FinishedRun): void => {
  let highestGeneration = 0;
  const writeByGeneration = new Map<number, string>();
  for (const write of world.writes) {
    const { reply } = write;
    if (write.kind !== 'apply' || reply?.status !== 200) continue;
    if (write.isInvalid) violations.add('whole', `${write.id} is invalid and was accepted`);
    const earlierId = writeByGeneration.get(reply.generation);
    if (earlierId !== undefined)
      violations.add(
        'generation',
        `${earlierId} and ${write.id} were both told generation ${reply.generation}`,
      );
    writeByGeneration.set(reply.generation, write.id);
    highestGeneration = Math.max(highestGeneration, reply.generation);
  }
  const primary = world.primary();
  const currentGeneration = primary?.state?.control.configuration?.offer.generation ?? 0;
  if (primary !== undefined && currentGeneration < highestGeneration)
    violations.add(
      'lost write',
      `generation ${highestGeneration} was accepted, the store has ${currentGeneration}`,
    );
  const outcomes = primary?.state?.control.commandOutcomes;
  for (const write of world.writes) {
    const status = write.reply?.status;
    const isStored = outcomes?.has(write.id) === true;
    if (primary !== undefined && status === 200 && !isStored)
      violations.add(
        'lost write',
        `${write.kind} ${write.id} was accepted and is not in the store`,
      );
    if ((status === 409 || status === 422 || status === 503) && isStored)
      violations.add('R2', `${write.kind} ${write.id} was told ${status} and took effect`);
  }
};
