import { toGeneration } from '@switchwheel/gauge';
import { type WireEffect, Yard } from '@switchwheel/coupling';
import { type StoreEffect, type StoreEvent, inSync, isPrimary, newStore, storeStep } from '@switchwheel/ledger';
import { build } from '@switchwheel/timetable';
import { Disk, type Reading, adminApp, bootOrExit, createLog, inSlices, isWireEffect, newDice, newIncarnation, now, onStop, openDoor, plainReading as plain, runLoop } from '@switchwheel/footplate';
import { program, schema } from './boot.js';
import { changeOf, findOn } from './rows.js';

const boot = bootOrExit(program, schema);
const log = createLog(program.name, boot.node, boot.log);
const member = { node: boot.node, role: 'store' as const, area: boot.area, address: boot.listen, admin: boot.admin, incarnation: newIncarnation() };
const yard = new Yard({ node: member.node, address: member.address, incarnation: member.incarnation });

let disk: Disk;
try {
  disk = new Disk(boot.data);
} catch (problem) {
  process.stderr.write(`${program.name}: data: the folder can't be used: ${problem instanceof Error ? problem.message : 'unknown'}\n`);
  process.exit(2);
}

type OwnEffect = Exclude<StoreEffect, WireEffect>;
let stopped: () => void = () => undefined;
const run = (effect: OwnEffect): void => {
  switch (effect.kind) {
    case 'sync': {
      const id = effect.write.id;
      void disk.write(changeOf(effect.write)).then((done) => loop.tell((at) => done.isOk
        ? { kind: 'synced', now: at, id }
        : { kind: 'unsynced', now: at, id, text: done.error.text, full: done.error.full }));
      break;
    }
    case 'compile':
      void inSlices(build(effect.texts, toGeneration(0), effect.hash)).then((built) => loop.tell((at) => ({ kind: 'compiled', now: at, hash: effect.hash, faults: built.isOk ? [] : built.error })));
      break;
    case 'stopped':
      stopped();
      break;
  }
};
const limits = { copies: boot.copies, tolerate: boot.tolerate, follow: boot.electorate === 'follows' };
const isOwnWire = (effect: StoreEffect): effect is WireEffect => isWireEffect(effect);
const loop = runLoop<ReturnType<typeof newStore>, StoreEvent, OwnEffect>(storeStep, newStore(member, boot.seeds, newDice(), limits), yard, log, run, isOwnWire);
const state = loop.store.state;

let worstLag = 0;
const readings = (): readonly Reading[] => {
  const one = state();
  worstLag = Math.max(worstLag, loop.lag());
  return [
    plain('primary', isPrimary(one, now()) ? 1 : 0), plain('in_sync', inSync(one) ? 1 : 0), plain('entries', one.table.size), plain('epoch', one.charter?.epoch ?? 0),
    plain('writes_waiting', one.waitlist.length), plain('disk_full', one.diskFull === undefined ? 0 : 1), plain('loop_lag_worst_ms', worstLag),
    plain('foreign_channels_total', yard.foreign), plain('memory_bytes', process.memoryUsage.rss()),
  ];
};
const ready = (): boolean => state().phase === 'member' && (isPrimary(state(), now()) || inSync(state()));
const admin = await openDoor(adminApp(ready, readings), boot.admin);
await yard.listen();
const found = findOn(disk);
loop.tell((at) => ({ kind: 'read', now: at, found }));
log.write('info', 'started', new Map<string, string>([['listen', boot.listen], ['data', boot.data]]));

onStop(log, async () => {
  const over = new Promise<void>((done) => { stopped = done; });
  loop.tell((at) => ({ kind: 'stop', now: at }));
  await over;
  // Last words leave before the channels close.
  await new Promise<void>((done) => { setTimeout(done, 100); });
  loop.end();
  admin.shut();
  yard.close();
  await Promise.race([disk.close(), new Promise<void>((done) => { setTimeout(done, 1000); })]);
});
