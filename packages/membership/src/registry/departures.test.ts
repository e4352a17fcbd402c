/** Guards against an acknowledged departure of an origin that the loss of all processes, or an old record, undoes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  primaryLease,
  toAddress,
  toDurationMs,
  toEpoch,
  toInstanceId,
  toRelease,
  toSeq,
  toServiceName,
  toTimestamp,
} from '@switchwheel/types';
import type { Frame, FrameOf, Member, OriginInstance } from '@switchwheel/transport';
import { feedOf, memberAt, peerOf, registry, store } from '../testing/registry-fixtures.js';
import type { RegistryEvent } from './event.js';
import { type RegistryState, newRegistryState } from './state.js';
import { registryTransition } from './transition.js';

const startedAt = 1000;
const [peer, silentPeer] = [
  memberAt('registry', 'r2', 7011),
  memberAt('registry', 'r3', 7012),
] as const;
const electorate = {
  serial: toSeq(1),
  members: [registry, peer, silentPeer].map(({ node, address }) => ({ node, address })),
};
const originIn = (state: OriginInstance['state'], calls = 1): OriginInstance => ({
  service: toServiceName('clips'),
  instance: toInstanceId('o1'),
  address: toAddress('10.0.0.9:80'),
  release: toRelease('r1'),
  slots: 4,
  calls: toSeq(calls),
  state,
  age: toDurationMs(0),
});

/** A registry that hears the primary and one of its two peers. */
class ConnectedRegistry {
  #state: RegistryState = {
    ...newRegistryState(registry, [], toTimestamp(startedAt), { seed: 1 }),
    electorate,
    holders: new Map([
      [
        primaryLease,
        { duty: primaryLease, node: store.node, address: store.address, epoch: toEpoch(1) },
      ],
    ]),
  };
  readonly replies: number[] = [];
  #sent: Frame[] = [];

  /** Frames sent since the last call. */
  takeSent(): readonly Frame[] {
    const sent = this.#sent;
    this.#sent = [];
    return sent;
  }

  #dispatch(event: RegistryEvent): void {
    const { state, effects } = registryTransition(this.#state, event);
    this.#state = state;
    for (const effect of effects) {
      if (effect.kind === 'reply') this.replies.push(effect.status);
      if (effect.kind === 'send') this.#sent.push(effect.frame);
    }
  }

  receive(sender: Member, frame: Frame, at: number): void {
    this.#dispatch({ kind: 'frameReceived', now: toTimestamp(at), from: peerOf(sender), frame });
  }

  tick(at: number): void {
    this.#dispatch({ kind: 'tick', now: toTimestamp(at) });
  }

  announce(state: OriginInstance['state'], at: number): void {
    const { age, ...origin } = originIn(state);
    assert.equal(age, 0);
    this.#dispatch({
      kind: 'requestReceived',
      now: toTimestamp(at),
      correlationId: 1,
      request: { verb: 'announce', origin },
    });
  }

  hearPeer(at: number): void {
    this.receive(
      peer,
      {
        kind: 'gossip',
        from: peer,
        full: true,
        at: toTimestamp(at),
        sessions: [],
        origins: [],
        holders: [],
        memories: [],
        recovering: false,
        heard: [{ node: registry.node, incarnation: registry.incarnation, at: toTimestamp(at) }],
      },
      at,
    );
  }

  hearPrimary(at: number, overrides: Partial<FrameOf<'feed'>>): void {
    this.receive(store, feedOf(at, { at: toTimestamp(at), electorate, ...overrides }), at);
  }

  hearPeerAcknowledge(state: OriginInstance['state'], at: number): void {
    const { instance } = originIn(state);
    this.receive(peer, { kind: 'departure-ack', node: peer.node, instance, state }, at);
  }

  stateOfOrigin(): OriginInstance['state'] | undefined {
    return this.#state.origins.get(toInstanceId('o1'))?.state;
  }
}

const newConnectedRegistry = (feed: Partial<FrameOf<'feed'>>): ConnectedRegistry => {
  const connected = new ConnectedRegistry();
  connected.hearPeer(1010);
  connected.hearPrimary(1010, feed);
  connected.announce('up', 1020);
  assert.deepEqual(connected.replies.splice(0), [200]);
  return connected;
};

const recordsNothingYet = { recordsDepartures: true, departures: [] };
const recordsGone = { recordsDepartures: true, departures: [originIn('gone')] };

void test('a departure that a majority knows is acknowledged only once the primary has recorded it', () => {
  const connected = newConnectedRegistry(recordsNothingYet);
  connected.announce('gone', 1100);
  connected.hearPeerAcknowledge('gone', 1110);
  connected.tick(1150);
  assert.deepEqual(connected.replies, [], 'it is in memory only');
  const leaving = { recordsDepartures: true, departures: [originIn('leaving')] };
  connected.hearPrimary(1160, leaving);
  assert.deepEqual(connected.replies, [], 'an earlier state is recorded');
  connected.hearPrimary(1170, recordsGone);
  assert.deepEqual(connected.replies, [200]);
  connected.announce('gone', 1180);
  assert.deepEqual(connected.replies, [200, 200], 'it is acknowledged again at once');
});

void test('a recorded departure is not acknowledged before a majority knows it', () => {
  const connected = newConnectedRegistry(recordsNothingYet);
  connected.announce('gone', 1100);
  connected.hearPrimary(1110, recordsGone);
  assert.deepEqual(connected.replies, []);
  connected.hearPeerAcknowledge('gone', 1120);
  assert.deepEqual(connected.replies, [200]);
});

void test('a departure that is not recorded in time is refused', () => {
  const connected = newConnectedRegistry(recordsNothingYet);
  connected.announce('gone', 1100);
  connected.hearPeerAcknowledge('gone', 1110);
  connected.tick(1750);
  assert.deepEqual(connected.replies, []);
  connected.tick(1850);
  assert.deepEqual(connected.replies, [503]);
});

void test('a registry that does not know the electorate confirms no departure', () => {
  const connected = new ConnectedRegistry();
  connected.announce('gone', 1100);
  connected.tick(1900);
  assert.deepEqual(connected.replies, [503]);
});

void test('beside a primary that reports no records, a departure is acknowledged after its next check of the origins', () => {
  const connected = newConnectedRegistry({});
  connected.announce('gone', 1100);
  connected.hearPeerAcknowledge('gone', 1110);
  connected.tick(1690);
  assert.deepEqual(connected.replies, []);
  connected.tick(1710);
  assert.deepEqual(connected.replies, [200]);
});

void test('a registry that does not await the record itself gets an acknowledgement only of a recorded departure', () => {
  const acknowledges = (connected: ConnectedRegistry, awaitsRecord: boolean): boolean => {
    connected.takeSent();
    connected.receive(
      peer,
      { kind: 'departure', origin: originIn('gone'), ...(awaitsRecord ? { awaitsRecord } : {}) },
      1200,
    );
    return connected.takeSent().some(({ kind }) => kind === 'departure-ack');
  };
  assert.equal(acknowledges(newConnectedRegistry(recordsNothingYet), true), true);
  assert.equal(acknowledges(newConnectedRegistry(recordsNothingYet), false), false);
  const informed = newConnectedRegistry(recordsNothingYet);
  informed.hearPrimary(1150, recordsGone);
  assert.equal(acknowledges(informed, false), true);
});

void test('a registry learns recorded departures, and a late report does not undo them', () => {
  const connected = new ConnectedRegistry();
  connected.hearPeer(1010);
  connected.hearPrimary(1010, recordsGone);
  connected.announce('up', 1020);
  assert.deepEqual(connected.replies, [409]);
  assert.equal(connected.stateOfOrigin(), 'gone');
});
