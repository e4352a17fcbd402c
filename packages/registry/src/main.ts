/** The `registry` program: reads its settings and runs a registry until a shutdown signal. */

import { createLogger, handleShutdownSignals, readSettingsOrExit } from '@switchwheel/runtime';
import { createRegistryApp } from './http/app.js';
import { program, settingsSchema } from './settings.js';
import { startRegistry } from './start-registry.js';

const bytesPerMebibyte = 1024 * 1024;

const settings = readSettingsOrExit(program, settingsSchema);
const log = createLogger(program.name, settings.node, settings.log);
const maxConfigurationBytes = settings.limit * bytesPerMebibyte;
const registry = await startRegistry(settings, log, (port) =>
  createRegistryApp({ ...port, maxConfigurationBytes }),
);
handleShutdownSignals(log, registry.stop);
