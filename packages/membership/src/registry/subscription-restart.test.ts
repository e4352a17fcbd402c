/** Guards a restarted registry against feeds that are based on the subscription of its earlier process. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  clockOrigin,
  primaryLease,
  toEpoch,
  toSeq,
  toTimestamp,
  type Seq,
  type Timestamp,
} from '@switchwheel/types';
import type { Frame, FrameOf, Member, Purge } from '@switchwheel/transport';
import {
  edge,
  feedOf,
  heartbeatOf,
  peerOf,
  registry,
  repliesToEdge,
  store,
} from '../testing/registry-fixtures.js';
import { type RegistryState, newRegistryState } from './state.js';
import { registryTransition } from './transition.js';

const startedAt = toTimestamp(900);
const purges: readonly Purge[] = [1, 2, 3, 4, 5, 6].map((seq) => ({ seq: toSeq(seq), aims: [] }));
/** Last purge that the edge and the earlier process of the registry have. */
const purgedByEdge = toSeq(3);
const purgedByEarlierProcess = toSeq(5);

/** Feed that leaves out what its receiver is taken to have: the desired configurations, and purges up to `purged`. */
const partialFeed = (at: Timestamp, purged: Seq): FrameOf<'feed'> => {
  const { desired: omitted, ...feed } = feedOf(1, {
    at,
    purges: purges.filter(({ seq }) => seq > purged),
    floor: toSeq(1),
    top: toSeq(6),
  });
  assert.deepEqual(omitted, []);
  return feed;
};

/** A registry that has restarted and knows the primary. */
class RestartedRegistry {
  #state: RegistryState = {
    ...newRegistryState(registry, [], startedAt, { seed: 1 }),
    holders: new Map([
      [
        primaryLease,
        { duty: primaryLease, node: store.node, address: store.address, epoch: toEpoch(1) },
      ],
    ]),
  };

  /** Passes a frame to the registry; returns the purges in its reply to the edge. */
  receive(sender: Member, frame: Frame, at: number): readonly number[] {
    const event = {
      kind: 'frameReceived',
      now: toTimestamp(at),
      from: peerOf(sender),
      frame,
    } as const;
    const result = registryTransition(this.#state, event);
    this.#state = result.state;
    return repliesToEdge(result).flatMap((reply) => reply.purges.map(({ seq }) => seq));
  }

  /** Lets time pass; returns the subscription that the registry sends. */
  subscribe(at: number): FrameOf<'subscribe'> {
    const result = registryTransition(this.#state, { kind: 'tick', now: toTimestamp(at) });
    this.#state = result.state;
    for (const effect of result.effects)
      if (effect.kind === 'send' && effect.frame.kind === 'subscribe') return effect.frame;
    return assert.fail('no subscription was sent');
  }
}

const cases: readonly (readonly [name: string, at: Timestamp])[] = [
  ['a push', clockOrigin],
  ['a reply', toTimestamp(startedAt - 10)],
  ['a reply from before the machine restarted', toTimestamp(1_000_000)],
];

// Guards against purges that are missing at a restarted registry for good, so that an edge behind it never gets them.
for (const [name, at] of cases)
  void test(`${name} to the earlier process of a registry leaves no gap in the purges that edges get`, () => {
    const restarted = new RestartedRegistry();
    restarted.receive(store, partialFeed(at, purgedByEarlierProcess), 950);
    const subscription = restarted.subscribe(1200);
    restarted.receive(store, partialFeed(subscription.at, subscription.purged), 1201);
    const received = restarted.receive(edge, heartbeatOf(1, { purged: purgedByEdge }), 1210);
    assert.deepEqual(received, [4, 5, 6]);
  });

void test('a push that follows the reply to a subscription is taken', () => {
  const restarted = new RestartedRegistry();
  const subscription = restarted.subscribe(1200);
  restarted.receive(store, partialFeed(subscription.at, toSeq(1)), 1201);
  const pushed = feedOf(2, {
    at: clockOrigin,
    purges: [{ seq: toSeq(7), aims: [] }],
    top: toSeq(7),
  });
  restarted.receive(store, pushed, 1202);
  const received = restarted.receive(edge, heartbeatOf(1, { purged: purgedByEdge }), 1210);
  assert.equal(received.at(-1), 7);
});
