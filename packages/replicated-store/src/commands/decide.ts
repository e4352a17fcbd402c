import { type Seq, equalAsJson, nextSeq } from '@switchwheel/types';
import type { Purge, TableMutation } from '@switchwheel/transport';
import {
  type ControlState,
  type NodeRecord,
  deleteRecord,
  controlKeys,
  planRollout,
  policy as policySchema,
  purgesToDrop,
  latestPurge,
  tickRollout,
  putRecord,
  configurationHeader as headSchema,
} from '@switchwheel/configuration';
import * as v from 'valibot';
import { decideApply } from './apply-configuration.js';
import { type Decision, commandReply, earlierReply, noChange, rememberReply } from './decision.js';
import { chunkPuts } from './chunks.js';
import { decideRolloutRequest, decideRelease } from './rollout-request.js';
import { originPuts } from '../origins/origin-records.js';
import type { Command, StoreState } from '../state/state.js';

const decidePurge = (
  control: ControlState,
  command: Extract<Command, { kind: 'purge' }>,
  seq: Seq,
): Decision => {
  const again = earlierReply(control, command, seq);
  if (again !== undefined) return again;
  const number = nextSeq(latestPurge(control));
  const batch: Purge = { seq: number, aims: [...command.aims] };
  const result = commandReply(command, 200, {
    kind: 'accepted',
    purge: number,
    aims: command.aims.length,
  });
  const old = purgesToDrop(control.purges, batch);
  return {
    ...noChange,
    repliesAfterWrite: [result],
    puts: [
      putRecord(controlKeys.purge(number), batch),
      ...old.map((one) => deleteRecord(controlKeys.purge(one.seq))),
      ...rememberReply(control, result, seq),
    ],
  };
};

const decideNode = (
  control: ControlState,
  command: Extract<Command, { kind: 'node' }>,
): Decision => {
  const known = control.nodes.get(command.node);
  const { role, incarnation, online, report } = command;
  if (known !== undefined && known.incarnation > incarnation) return noChange;
  const fresh = known?.incarnation !== incarnation;
  const row: NodeRecord = {
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
  return { ...noChange, puts: [putRecord(controlKeys.node(command.node), row)] };
};

const decideCanary = (
  control: ControlState,
  command: Extract<Command, { kind: 'trial' }>,
): Decision => {
  const { service, release, spent, bad, good, seen, state } = command.word;
  const key = controlKeys.verdict(service, release);
  const known = control.canaryResults.get(key);
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
  return { ...noChange, puts: [putRecord(key, next)] };
};

const rolloutPolicyOf = (control: ControlState): v.InferOutput<typeof policySchema> => {
  const first = control.configuration?.offer.pieces[0];
  const text = first === undefined ? undefined : control.chunks.get(first);
  const read = text === undefined ? undefined : v.safeParse(headSchema, JSON.parse(text));
  return read?.success === true ? read.output.rollout : v.parse(policySchema, {});
};

/** Compare-and-set: a change of a rollout or a target counts only on the revision it was made from. */
export const onlyCurrentRevisions = (
  control: ControlState,
  puts: readonly TableMutation[],
): readonly TableMutation[] =>
  puts.filter(({ key, data }) => {
    if (data === null) return true;
    const old = key.startsWith('target/')
      ? control.targets.get(key)
      : key.startsWith('rollout/')
        ? [...control.rollouts.values()].find((one) => controlKeys.rollout(one.generation) === key)
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
  state: StoreState,
  control: ControlState,
  command: Command,
  seq: Seq,
  now: StoreState['rolloutsAdvancedAt'],
): Decision & {
  readonly seen?: StoreState['targetStatusSeen'];
  readonly opened?: StoreState['rolloutOpenedAt'];
} => {
  switch (command.kind) {
    case 'apply':
      return decideApply(state, control, command, seq);
    case 'pieces':
      return { ...noChange, puts: chunkPuts(state, control, command.hashes) };
    case 'purge':
      return decidePurge(control, command, seq);
    case 'electorate': {
      const again = earlierReply(control, command, seq);
      if (again !== undefined) return again;
      if (
        state.metadata !== undefined &&
        command.electorate.serial <= state.metadata.electorate.serial
      ) {
        return {
          ...noChange,
          immediateReplies: [
            commandReply(command, 409, {
              kind: 'stale',
              text: 'the electorate changed meanwhile; ask again with a new id',
            }),
          ],
        };
      }
      const result = commandReply(command, 200, {
        kind: 'accepted',
        electorate: command.electorate,
      });
      return {
        ...noChange,
        repliesAfterWrite: [result],
        puts: rememberReply(control, result, seq),
        electorate: command.electorate,
      };
    }
    case 'seats':
      return { ...noChange, electorate: command.electorate };
    case 'node':
      return decideNode(control, command);
    case 'forget':
      return control.nodes.get(command.node)?.online === false
        ? { ...noChange, puts: [deleteRecord(controlKeys.node(command.node))] }
        : noChange;
    case 'trial':
      return decideCanary(control, command);
    case 'order': {
      const again = earlierReply(control, command, seq);
      if (again !== undefined) return again;
      const ordered = decideRolloutRequest(state, control, command, now);
      const result = commandReply(command, ordered.status, ordered.body);
      if (ordered.status !== 200) return { ...noChange, immediateReplies: [result] };
      return {
        ...noChange,
        repliesAfterWrite: [result],
        puts: [...ordered.puts, ...rememberReply(control, result, seq)],
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
      return {
        ...noChange,
        puts: onlyCurrentRevisions(control, planRollout(control, rolloutPolicyOf(control))),
      };
    case 'turn': {
      const result = tickRollout(control, state.targetStatusSeen, state.rolloutOpenedAt, now);
      return {
        ...noChange,
        puts: onlyCurrentRevisions(control, result.puts),
        seen: result.seen,
        opened: result.opened,
      };
    }
  }
};
