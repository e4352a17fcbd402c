/** The `store` program: reads its settings, opens its data folder, and runs a store until a shutdown signal. */

import {
  type Disk,
  readSettingsOrExit,
  createLogger,
  handleShutdownSignals,
} from '@switchwheel/runtime';
import { openDataFolder } from './data-folder.js';
import { program, settingsSchema } from './settings.js';
import { startStore } from './start-store.js';

const settings = readSettingsOrExit(program, settingsSchema);
const log = createLogger(program.name, settings.node, settings.log);

let disk: Disk;
try {
  disk = openDataFolder(settings.data);
} catch (error) {
  process.stderr.write(
    `${program.name}: data: can't open the data folder: ${error instanceof Error ? error.message : 'unknown'}\n`,
  );
  process.exit(2);
}
const replication = {
  copies: settings.copies,
  tolerate: settings.tolerate,
  electorateFollowsRegistries: settings.electorate === 'follows',
};
const running = await startStore({ ...settings, zone: settings.area, replication }, log, disk);
handleShutdownSignals(log, running.stop);
