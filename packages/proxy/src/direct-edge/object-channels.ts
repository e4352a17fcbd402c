/** Connects the channels of an edge to the sharing of objects with other edges. */

import type { Address } from '@switchwheel/types';
import { type ChannelPool, type ObjectFrame, isObjectFrame } from '@switchwheel/transport';
import type { PeerConnection } from '@switchwheel/routing';

/** Part of the edge router that handles frames of other edges. */
export interface ObjectFrameHandler {
  readonly handlePeerFrame: (from: PeerConnection, frame: ObjectFrame) => void;
  readonly handlePeerDisconnect: (edge: Address, wasEstablished: boolean) => void;
}

/**
 * Passes the frames of other edges to a handler. Replies go back on the channel that a frame arrived on, and so to the
 * process that sent it: another process may have its address by then.
 */
export const connectObjectChannels = (channels: ChannelPool, handler: ObjectFrameHandler): void => {
  channels.on('frame', ({ address }, frame, channel) => {
    if (!isObjectFrame(frame)) return;
    const send: PeerConnection['send'] = (reply) => channel.sendUnlessBacklogged(reply);
    handler.handlePeerFrame({ address, send }, frame);
  });
  channels.on('disconnected', (address, wasEstablished) =>
    handler.handlePeerDisconnect(address, wasEstablished),
  );
};
