/** Rules of operators' writes, checked at the end of a run: no accepted write is lost, no rejected write takes effect. */

import type { FinishedRun } from './finished-run.js';

/** Checks the writes by their replies and the final state of the primary. */
// eslint-disable-next-line complexity -- independent checks in a row; optional chaining counts as branches
export const checkWrites = ({ world, violations }: FinishedRun): void => {
  let highestGeneration = 0;
  const writeByGeneration = new Map<number, string>();
  for (const write of world.writes) {
    const { reply } = write;
    if (write.kind !== 'apply' || reply?.status !== 200) continue;
    if (write.isInvalid) violations.add('validation', `${write.id} is invalid and was accepted`);
    const earlierId = writeByGeneration.get(reply.generation);
    if (earlierId !== undefined)
      violations.add(
        'generation',
        `${earlierId} and ${write.id} were both acknowledged with generation ${reply.generation}`,
      );
    writeByGeneration.set(reply.generation, write.id);
    highestGeneration = Math.max(highestGeneration, reply.generation);
  }
  const primary = world.primary();
  const currentGeneration = primary?.state?.control.configuration?.offer.generation ?? 0;
  if (primary !== undefined && currentGeneration < highestGeneration)
    violations.add(
      'lost write',
      `generation ${highestGeneration} was accepted, the primary has ${currentGeneration}`,
    );
  const outcomes = primary?.state?.control.commandOutcomes;
  for (const write of world.writes) {
    const status = write.reply?.status;
    const isStored = outcomes?.has(write.id) === true;
    if (primary !== undefined && status === 200 && !isStored)
      violations.add(
        'lost write',
        `${write.kind} ${write.id} was accepted and is not stored on the primary`,
      );
    if ((status === 409 || status === 422 || status === 503) && isStored)
      violations.add('R2', `${write.kind} ${write.id} got status ${status} and took effect`);
  }
};
