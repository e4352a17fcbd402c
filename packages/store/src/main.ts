import {
  type Disk,
  readSettingsOrExit,
  createLogger,
  handleShutdownSignals,
} from '@switchwheel/runtime';
import { program, settingsSchema } from './settings.js';
import { openData, startStore } from './start-store.js';

const boot = readSettingsOrExit(program, settingsSchema);
const log = createLogger(program.name, boot.node, boot.log);

let disk: Disk;
try {
  disk = openData(boot.data);
} catch (problem) {
  process.stderr.write(
    `${program.name}: data: the folder can't be used: ${problem instanceof Error ? problem.message : 'unknown'}\n`,
  );
  process.exit(2);
}
const limits = {
  copies: boot.copies,
  tolerate: boot.tolerate,
  electorateFollowsRegistries: boot.electorate === 'follows',
};
const running = await startStore({ ...boot, zone: boot.area, replication: limits }, log, disk);
handleShutdownSignals(log, running.stop);
