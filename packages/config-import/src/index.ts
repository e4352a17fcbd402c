export * from './nginx/parse.js';
export * from './nginx/convert.js';
