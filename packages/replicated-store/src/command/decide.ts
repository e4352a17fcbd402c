import { type Seq, equalAsJson, nextSeq } from '@switchwheel/types';
import type { Purge, Put } from '@switchwheel/transport';
import {
  type Control,
  type NodeRow,
  erase,
  keyOf,
  plan,
  policy as policySchema,
  surplusPurges,
  topPurge,
  turn,
  write,
  head as headSchema,
} from '@switchwheel/configuration';
import * as v from 'valibot';
import { decideApply } from './apply.js';
import { type Decision, callResult, earlierResult, noChange, rememberResult } from './decision.js';
import { piecePuts } from './pieces.js';
import { decideOrder, decideRelease } from './order.js';
import { originPuts } from '../origins/origins.js';
import type { Command, Store } from '../state/state.js';

const decidePurge = (
  control: Control,
  command: Extract<Command, { kind: 'purge' }>,
  seq: Seq,
): Decision => {
  const again = earlierResult(control, command, seq);
  if (again !== undefined) return again;
  const number = nextSeq(topPurge(control));
  const batch: Purge = { seq: number, aims: [...command.aims] };
  const result = callResult(command, 200, {
    kind: 'accepted',
    purge: number,
    aims: command.aims.length,
  });
  const old = surplusPurges(control.purges, batch);
  return {
    ...noChange,
    results: [result],
    puts: [
      write(keyOf.purge(number), batch),
      ...old.map((one) => erase(keyOf.purge(one.seq))),
      ...rememberResult(control, result, seq),
    ],
  };
};

const decideNode = (control: Control, command: Extract<Command, { kind: 'node' }>): Decision => {
  const known = control.nodes.get(command.node);
  const { role, incarnation, online, report } = command;
  if (known !== undefined && known.incarnation > incarnation) return noChange;
  const fresh = known?.incarnation !== incarnation;
  const row: NodeRow = {
    role,
    incarnation,
    online,
    reported: report,
    assigned: known?.assigned,
    desired: known?.desired,
    // A new run of a node starts without a mark; a mark ends when the node runs what it was for.
    failed: report.failed?.hash ?? (fresh || report.phase === 'applied' ? undefined : known.failed),
  };
  if (known !== undefined && equalAsJson(known, row)) return noChange;
  return { ...noChange, puts: [write(keyOf.node(command.node), row)] };
};

const decideTrial = (control: Control, command: Extract<Command, { kind: 'trial' }>): Decision => {
  const { service, release, spent, bad, good, seen, state } = command.word;
  const key = keyOf.verdict(service, release);
  const known = control.verdicts.get(key);
  // Counts only grow, and a bad verdict stays.
  const next = {
    service,
    release,
    spent: Math.max(spent, known?.spent ?? 0),
    bad: Math.max(bad, known?.bad ?? 0),
    good: Math.max(good, known?.good ?? 0),
    seen: Math.max(seen, known?.seen ?? 0),
    state:
      known?.state === 'bad'
        ? ('bad' as const)
        : state === 'trial' && known?.state === 'good'
          ? ('good' as const)
          : state,
  };
  if (
    known !== undefined &&
    known.spent === next.spent &&
    known.bad === next.bad &&
    known.state === next.state
  )
    return noChange;
  return { ...noChange, puts: [write(key, next)] };
};

const policyOf = (control: Control): v.InferOutput<typeof policySchema> => {
  const first = control.stored?.offer.pieces[0];
  const text = first === undefined ? undefined : control.pieces.get(first);
  const read = text === undefined ? undefined : v.safeParse(headSchema, JSON.parse(text));
  return read?.success === true ? read.output.rollout : v.parse(policySchema, {});
};

/** Compare-and-set: a change of a rollout or a target counts only on the revision it was made from. */
export const guard = (control: Control, puts: readonly Put[]): readonly Put[] =>
  puts.filter(({ key, data }) => {
    if (data === null) return true;
    const old = key.startsWith('target/')
      ? control.targets.get(key)
      : key.startsWith('rollout/')
        ? [...control.rollouts.values()].find((one) => keyOf.rollout(one.generation) === key)
        : undefined;
    if (old === undefined) return true;
    const read = v.safeParse(v.object({ rev: v.number() }), JSON.parse(data));
    return (
      read.success &&
      (read.output.rev === old.rev + 1 || (key.startsWith('rollout/') && read.output.rev === 0))
    );
  });

/** What one command changes, seen from the control state as it will be after those before it. */
export const decide = (
  state: Store,
  control: Control,
  command: Command,
  seq: Seq,
  now: Store['engineRanAt'],
): Decision & { readonly seen?: Store['seen']; readonly opened?: Store['opened'] } => {
  switch (command.kind) {
    case 'apply':
      return decideApply(state, control, command, seq);
    case 'pieces':
      return { ...noChange, puts: piecePuts(state, control, command.hashes) };
    case 'purge':
      return decidePurge(control, command, seq);
    case 'electorate': {
      const again = earlierResult(control, command, seq);
      if (again !== undefined) return again;
      if (
        state.metadata !== undefined &&
        command.electorate.serial <= state.metadata.electorate.serial
      ) {
        return {
          ...noChange,
          immediateReplies: [
            callResult(command, 409, {
              kind: 'stale',
              text: 'the electorate changed meanwhile; ask again with a new id',
            }),
          ],
        };
      }
      const result = callResult(command, 200, { kind: 'accepted', electorate: command.electorate });
      return {
        ...noChange,
        results: [result],
        puts: rememberResult(control, result, seq),
        electorate: command.electorate,
      };
    }
    case 'seats':
      return { ...noChange, electorate: command.electorate };
    case 'node':
      return decideNode(control, command);
    case 'forget':
      return control.nodes.get(command.node)?.online === false
        ? { ...noChange, puts: [erase(keyOf.node(command.node))] }
        : noChange;
    case 'trial':
      return decideTrial(control, command);
    case 'order': {
      const again = earlierResult(control, command, seq);
      if (again !== undefined) return again;
      const ordered = decideOrder(state, control, command, now);
      const result = callResult(command, ordered.status, ordered.body);
      if (ordered.status !== 200) return { ...noChange, immediateReplies: [result] };
      return {
        ...noChange,
        results: [result],
        puts: [...ordered.puts, ...rememberResult(control, result, seq)],
      };
    }
    case 'release':
      return { ...noChange, puts: decideRelease(control, command.next) };
    case 'origins':
      return {
        ...noChange,
        puts: originPuts(control.origins, state.session.origins, command.sure, now),
      };
    case 'plan':
      return { ...noChange, puts: guard(control, plan(control, policyOf(control))) };
    case 'turn': {
      const result = turn(control, state.seen, state.opened, now);
      return {
        ...noChange,
        puts: guard(control, result.puts),
        seen: result.seen,
        opened: result.opened,
      };
    }
  }
};
