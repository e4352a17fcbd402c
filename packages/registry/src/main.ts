import { bootOrExit, createLog, onStop } from '@switchwheel/runtime';
import { program, schema } from './boot.js';
import { outsideApp } from './outside/app.js';
import { startRegistry } from './run.js';

const boot = bootOrExit(program, schema);
const log = createLog(program.name, boot.node, boot.log);
const running = await startRegistry(boot, log, ({ ask, ready, metrics }) =>
  outsideApp(ask, boot.limit * 1024 * 1024, ready, metrics),
);
onStop(log, running.stop);
