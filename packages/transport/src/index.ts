export * from './frame/member.js';
export * from './frame/control.js';
export * from './frame/data.js';
export * from './frame/frame.js';
export * from './channel/process-event.js';
export * from './channel/frame-decoder.js';
export * from './channel/channel.js';
export * from './channel/channel-pool.js';
