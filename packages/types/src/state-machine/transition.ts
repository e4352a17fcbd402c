/** The result type of the pure reducers: a new state, and effects as data for a runner to carry out. */

/** What a reducer returns: the state after an event, and the effects in the order of their execution. */
export interface Transition<S, F> {
  readonly state: S;
  readonly effects: readonly F[];
}

/** A transition to a state with the given effects. */
export const transition = <S, F>(state: S, ...effects: readonly F[]): Transition<S, F> => ({
  state,
  effects,
});

/** A transition whose effects are preceded by those of an earlier one. */
export const prependEffects = <S, F>(
  earlierEffects: readonly F[],
  next: Transition<S, F>,
): Transition<S, F> => ({
  state: next.state,
  effects: [...earlierEffects, ...next.effects],
});
