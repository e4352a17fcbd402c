export * from './witness/witness.js';
export * from './stand/stand.js';
