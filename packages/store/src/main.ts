import { type Disk, bootOrExit, createLog, onStop } from '@switchwheel/runtime';
import { program, schema } from './boot.js';
import { openData, startStore } from './run.js';

const boot = bootOrExit(program, schema);
const log = createLog(program.name, boot.node, boot.log);

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
  follow: boot.electorate === 'follows',
};
const running = await startStore({ ...boot, limits }, log, disk);
onStop(log, running.stop);
