/** Builders for tests of an edge; no shipped code imports them. */

export * from './edge-fixture.js';
