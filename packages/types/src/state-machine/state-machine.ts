/** Runs a pure reducer: owns its state, serializes its events and hands its effects to a runner. */

import type { Transition } from './transition.js';

/** Owns one state, which changes only by events through the reducer. */
export interface StateMachine<S, E> {
  readonly state: () => S;
  readonly dispatch: (event: E) => void;
}

/**
 * Creates a state machine. Events that are dispatched while an effect runs are queued until all
 * effects of the current event have run; an error of the reducer or the runner reaches the caller of
 * the outermost `dispatch`.
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
      for (let head = queue.shift(); head !== undefined; head = queue.shift()) {
        const next = reduce(state, head);
        state = next.state;
        for (const effect of next.effects) runEffect(effect, dispatch);
      }
    } finally {
      isDispatching = false;
    }
  };
  return { state: () => state, dispatch };
};
