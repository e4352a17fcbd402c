/** Compiles a configuration for the node agent in time slices, so that the process keeps serving requests. */

import type { Timestamp } from '@switchwheel/types';
import { buildConfiguration } from '@switchwheel/configuration';
import type { NodeAgentEffect, NodeAgentEvent } from '@switchwheel/proxy-core';
import { runTimeSliced } from '@switchwheel/runtime';

/** Effect by which the node agent requests the compilation of a configuration. */
export type CompileEffect = Extract<NodeAgentEffect, { kind: 'compileConfiguration' }>;

/** Executes the effect; the compiled configuration or the errors are dispatched to the node agent as an event. */
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
