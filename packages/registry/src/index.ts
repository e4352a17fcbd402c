/**
 * The registry as a program: sockets, timers and HTTP around the state machine of `membership`. It
 * holds no state of its own beside requests that wait for their answers.
 */

export { program, settingsSchema } from './settings.js';
export * from './start-registry.js';
export type { RegistryPort, SubmitRequest } from './registry-port.js';
export { type UploadResult, uploadConfiguration } from './upload-configuration.js';
