import type { Transition } from './transition.js';

/** Holds one state; every change of it goes through the reducer, every effect through the runner. */
export interface StateMachine<S, E> {
  readonly state: () => S;
  readonly dispatch: (event: E) => void;
}

/** A redux-like store with effects: events that effects raise at once wait their turn. */
export const createStateMachine = <S, E, F>(
  reduce: (state: S, event: E) => Transition<S, F>,
  first: S,
  run: (effect: F, dispatch: (event: E) => void) => void,
): StateMachine<S, E> => {
  let state = first;
  let busy = false;
  const waitlist: E[] = [];
  const dispatch = (event: E): void => {
    waitlist.push(event);
    if (busy) return;
    busy = true;
    try {
      for (let head = waitlist.shift(); head !== undefined; head = waitlist.shift()) {
        const next = reduce(state, head);
        state = next.state;
        for (const effect of next.effects) run(effect, dispatch);
      }
    } finally {
      busy = false;
    }
  };
  return { state: () => state, dispatch };
};
