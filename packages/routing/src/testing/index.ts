/** Test fixtures for edges; not imported by production code. */

export * from './edge-fixture.js';
