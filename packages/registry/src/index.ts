export { program, settingsSchema } from './settings.js';
export * from './start-registry.js';
export { type SubmitRequest, type UploadResult, uploadConfiguration } from './http/app.js';
