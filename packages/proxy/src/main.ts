/** Entry point of the `proxy` command: reads the settings, starts the proxy and handles shutdown signals. */

import { createLogger, handleShutdownSignals, readSettingsOrExit } from '@switchwheel/runtime';
import { startProxy } from './proxy/start-proxy.js';
import { program, settingsSchema } from './settings/settings.js';

const settings = readSettingsOrExit(program, settingsSchema);
const log = createLogger(program.name, settings.node, settings.log);
const running = await startProxy(settings, log);
handleShutdownSignals(log, running.stop);
