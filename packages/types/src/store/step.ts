/** What a reducer gives back: the state after the event, and effects as data. */
export interface Step<S, F> {
  readonly state: S;
  readonly effects: readonly F[];
}

export const step = <S, F>(state: S, ...effects: readonly F[]): Step<S, F> => ({ state, effects });
/** A step's state with the effects of an earlier step before its own. */
export const join = <S, F>(first: readonly F[], second: Step<S, F>): Step<S, F> => ({
  state: second.state,
  effects: [...first, ...second.effects],
});
