/**
 * The registry program: sockets, timers and HTTP around the state machine of `membership`. Its only
 * own state is the pending requests.
 */

export { program, settingsSchema } from './settings.js';
export * from './start-registry.js';
export type { RegistryPort, SubmitRequest } from './registry-port.js';
export { type UploadResult, uploadConfiguration } from './upload-configuration.js';
