export * from './bucket/bucket.js';
export * from './trip/trip.js';
export * from './origin/book.js';
export * from './release/tally.js';
export * from './line/port.js';
export * from './line/quota.js';
export * from './line/line.js';
