/** Data channels from an edge to the shields that lead services. */

import { type ChannelPool, type Frame } from '@switchwheel/transport';
import { type OpenDataChannel, connectTimeoutMs } from '@switchwheel/proxy-core';

/** Returns a function that opens data channels of a pool and closes those that do not come up in time. */
export const dataChannelsOf =
  (channels: ChannelPool): OpenDataChannel =>
  (to, handlers) => {
    const channel = channels.openDataChannel(to);
    const timeout = setTimeout(() => channel.terminate('no hello in time'), connectTimeoutMs);
    channel.on('up', () => {
      clearTimeout(timeout);
      handlers.onOpen();
    });
    channel.on('frame', (frame: Frame) => handlers.onFrame(frame));
    channel.on('closed', () => {
      clearTimeout(timeout);
      handlers.onClosed();
    });
    return channel;
  };
