/** Result of a pure reducer: a new state, and effects as data for a runner to execute. */

/** State after an event, and the effects of the event in the order of their execution. */
export interface Transition<S, F> {
  readonly state: S;
  readonly effects: readonly F[];
}

/** Creates a transition to a state with the given effects. */
export const transition = <S, F>(state: S, ...effects: readonly F[]): Transition<S, F> => ({
  state,
  effects,
});

/** Returns a transition with the effects of an earlier one put before its own. */
export const prependEffects = <S, F>(
  earlierEffects: readonly F[],
  next: Transition<S, F>,
): Transition<S, F> => ({
  state: next.state,
  effects: [...earlierEffects, ...next.effects],
});
