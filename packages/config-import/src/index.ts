export * from './nginx/read.js';
export * from './nginx/carry.js';
