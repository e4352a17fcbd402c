/** Runs a pure reducer: holds its state, processes events one at a time and passes effects to a runner. */

import type { Transition } from './transition.js';

/** State that changes only when the reducer processes an event. */
export interface StateMachine<S, E> {
  readonly state: () => S;
  readonly dispatch: (event: E) => void;
}

/**
 * Creates a state machine. Events dispatched while an effect runs are queued until all effects of the
 * current event have run. An exception of the reducer or the runner propagates to the caller of the
 * outermost `dispatch`.
 */
export const createStateMachine = <S, E, F>(
  reduce: (state: S, event: E) => Transition<S, F>,
  initialState: S,
  runEffect: (effect: F, dispatch: (event: E) => void) => void,
): StateMachine<S, E> => {
  let state = initialState;
  let isDispatching = false;
  const queue: E[] = [];
  const dispatch = (event: E): void => {
    queue.push(event);
    if (isDispatching) return;
    isDispatching = true;
    try {
      for (let queued = queue.shift(); queued !== undefined; queued = queue.shift()) {
        const next = reduce(state, queued);
        state = next.state;
        for (const effect of next.effects) runEffect(effect, dispatch);
      }
    } finally {
      isDispatching = false;
    }
  };
  return { state: () => state, dispatch };
};
