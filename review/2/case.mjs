/**
 * An edge is killed while other edges still fetch objects for it, and is started again. Its new process numbers its
 * queries from 1 again, so that a late reply to a query of the former process is taken for the reply to a new one.
 */

import { send } from '../stand-ins/client.mjs';
import { configuration, order } from '../stand-ins/operator.mjs';
import { runCase } from '../stand-ins/case.mjs';
import { Objects, Origin } from '../stand-ins/origin.mjs';
import { sleep } from '../stand-ins/platform.mjs';

/** Working time of a warm origin, and time from an edge's first request to its kill; a later round allows a slower start. */
const rounds = [
  { workMs: 650, killAfterMs: 600 },
  { workMs: 750, killAfterMs: 400 },
  { workMs: 750, killAfterMs: 600 },
];
/** Whether the disruption is left out. */
const isCalm = process.env.TROUBLE === '0';
/** Time for which a new origin is slow: `cold_s` of the site file. */
const coldMs = 3000;
const restartDelayMs = 100;
const trafficMs = 4000;
/** Requests a second to the edges of the zone, the one that is killed first; the platform's shares are not even. */
const requestsPerSecond = [60, 15, 15];
const objectCount = 3000;
const timeLeftMs = 2000;

/** Returns why an answer breaks MIXED; undefined if it does not. */
const breakOf = ({ id, path, edge, status, seal, body, isWhole }) => {
  if (status !== 200) return undefined;
  if (seal === undefined || !isWhole) return `${id}: a success without seal or whole body`;
  const text = body.toString('latin1');
  return text.startsWith(`object ${path} version `)
    ? undefined
    : `${id}: asked ${edge} for ${path}, got "${text.slice(0, 40)}"`;
};

/** Sends requests to the edges of a zone, the first since their start, and kills one of them meanwhile. */
const playZone = async (fleet, record, zone, killAfterMs) => {
  const zoneEdges = fleet.edges.filter((edge) => edge.zone === zone);
  const [victim] = zoneEdges;
  const answers = [];
  const startedAt = Date.now();
  const trouble = (async () => {
    if (isCalm) return;
    await sleep(killAfterMs);
    record.write('platform', `SIGKILL ${victim.name}`);
    await victim.kill();
    await sleep(restartDelayMs);
    record.write('platform', `starts ${victim.name}`);
    victim.start();
  })();
  const sent = zoneEdges.map(() => 0);
  while (Date.now() - startedAt < trafficMs) {
    const seconds = (Date.now() - startedAt) / 1000;
    for (const [index, edge] of zoneEdges.entries())
      for (; sent[index] < seconds * requestsPerSecond[index]; sent[index] += 1) {
        const path = `/clip/${Math.floor(Math.random() * objectCount)}`;
        answers.push(send(edge, record, { path, timeLeftMs }));
      }
    await sleep(5);
  }
  await trouble;
  return Promise.all(answers);
};

const play = async (fleet, record, { workMs, killAfterMs }) => {
  await fleet.start();
  const objects = new Objects();
  const origins = ['busan-a', 'busan-a', 'busan-b', 'busan-b'].map(
    (zone, index) =>
      new Origin(fleet, record, {
        service: 'clip-store',
        zone,
        index: index + 1,
        slots: 32,
        objects,
        workMs: () => workMs,
        coldMs,
      }),
  );
  await order(fleet, record, 'PUT', '/api/config', configuration(1));
  await fleet.waitUntilReady(fleet.machines);
  await sleep(2500);
  await Promise.all(origins.map((origin) => origin.start()));
  await sleep(500);
  const results = await playZone(fleet, record, 'busan-a', killAfterMs);
  for (const origin of origins) origin.stop();
  const served = results.filter(({ status }) => status === 200).length;
  record.write('case', `${results.length} requests, ${served} answered with success`);
  if (served < results.length / 4) throw new Error('too few requests were served');
  return results.map(breakOf).filter((text) => text !== undefined);
};

await runCase(import.meta.url, play, rounds);
