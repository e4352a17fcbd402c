/** Compiles a configuration for the node agent, in slices between which the process serves requests. */

import type { Timestamp } from '@switchwheel/types';
import { buildConfiguration } from '@switchwheel/configuration';
import type { NodeAgentEffect, NodeAgentEvent } from '@switchwheel/proxy-core';
import { runTimeSliced } from '@switchwheel/runtime';

/** The node agent's wish that a configuration be compiled. */
export type CompileEffect = Extract<NodeAgentEffect, { kind: 'compileConfiguration' }>;

/** Runs the effect; the node agent hears of the compiled configuration, or of the errors, as an event. */
export const compileConfiguration = (
  { chunkTexts, offer, previous }: CompileEffect,
  dispatch: (makeEvent: (now: Timestamp) => NodeAgentEvent) => void,
): void => {
  const work = buildConfiguration(chunkTexts, offer.generation, offer.hash, previous);
  void runTimeSliced(work).then((built) =>
    dispatch((now) =>
      built.isOk
        ? { kind: 'configurationCompiled', now, offer, compiledConfiguration: built.value }
        : { kind: 'compileFailed', now, offer, issues: built.error },
    ),
  );
};
