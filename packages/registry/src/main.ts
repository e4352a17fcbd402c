import { readSettingsOrExit, createLogger, handleShutdownSignals } from '@switchwheel/runtime';
import { program, settingsSchema } from './settings.js';
import { createRegistryApp } from './http/app.js';
import { startRegistry } from './start-registry.js';

const boot = readSettingsOrExit(program, settingsSchema);
const log = createLogger(program.name, boot.node, boot.log);
const running = await startRegistry(boot, log, ({ submit, isReady, renderMetrics }) =>
  createRegistryApp(submit, boot.limit * 1024 * 1024, isReady, renderMetrics),
);
handleShutdownSignals(log, running.stop);
