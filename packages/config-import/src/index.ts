/**
 * The import of other programs' configurations: nginx files are read with all that they include, and
 * converted into a document; what has no counterpart is listed with its place.
 */

export * from './nginx/parse.js';
export * from './nginx/convert.js';
