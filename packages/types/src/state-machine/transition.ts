/** What a reducer gives back: the state after the event, and effects as data. */
export interface Transition<S, F> {
  readonly state: S;
  readonly effects: readonly F[];
}

export const transition = <S, F>(state: S, ...effects: readonly F[]): Transition<S, F> => ({
  state,
  effects,
});
/** A step's state with the effects of an earlier step before its own. */
export const prependEffects = <S, F>(
  first: readonly F[],
  second: Transition<S, F>,
): Transition<S, F> => ({
  state: second.state,
  effects: [...first, ...second.effects],
});
