/**
 * Wire protocol between processes: frames, the records in them, and the TCP channels that carry them. Frames
 * are handled in the packages of the processes that receive them.
 */

export * from './record/configuration.js';
export * from './record/lease.js';
export * from './record/node.js';
export * from './record/origin.js';
export * from './record/replication.js';
export * from './record/rollout.js';
export * from './frame/edge-shield.js';
export * from './frame/frame.js';
export * from './channel/address.js';
export * from './channel/process-event.js';
export { type ChannelKind, protocolVersion } from './channel/hello.js';
export * from './channel/frame-decoder.js';
export * from './channel/channel.js';
export * from './channel/channel-pool.js';
