/**
 * Clients send small corrections on kept connections, while a few others upload recordings within `body_bytes`. The
 * platform kills a process above `mem_mb` and starts it again.
 */

import { readFileSync } from 'node:fs';
import http from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Origin, call, newTryId, runCase, sleep } from '../harness-2/fleet.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const host = 'archive.example';
/** `body_bytes` of the pages' example of a configuration. */
const bodyLimitBytes = 67_108_864;
const uploadBytes = 60_000_000;
const uploadMs = 4000;
const uploadsPerRound = 4;
const rounds = 2;
/** `mem_mb` of an edge machine of the site. */
const memoryLimitMb = 350;
const restartDelayMs = 300;
/** Kept connections with small requests to each edge, and the work of a request at its origin. */
const keptConnections = 8;
const workMs = 190;
/** Number of such requests without an answer that the rule permits. */
const permittedLosses = 3;

const config = [
  {
    type: 'routes',
    md: { name: 'r-edit' },
    conf: {
      host,
      pfx: '/edit/',
      rtype: 'mutating',
      tmo_s: 9,
      goal_s: 0.6,
      prio: 1,
      svc: 'archive-app',
      tries: 2,
    },
  },
  {
    type: 'svcs',
    md: { name: 'archive-app' },
    conf: { probe: '/healthz', maxconn: 120, proto: 'h1', ssl: false },
  },
  {
    type: 'caps',
    md: {},
    conf: { hdr_bytes: 16384, body_bytes: bodyLimitBytes, hdr_s: 3, idle_s: 15 },
  },
];

/** Resident memory of a process without the pages of its program files, which are shared. */
const residentMb = (pid) => {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/RssAnon:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
};

/** The platform: kills a process above the limit, and starts it again after a short delay. */
const startPlatform = ({ fleet, record }) => {
  const watched = new Map(fleet.edges.map((edge) => [edge, { ends: 0, peakMb: 0, isDown: false }]));
  const restart = async (edge, state) => {
    await edge.ended;
    await sleep(restartDelayMs);
    edge.start();
    state.isDown = false;
  };
  const timer = setInterval(() => {
    for (const [edge, state] of watched) {
      if (state.isDown) continue;
      const usedMb = residentMb(edge.process.pid);
      state.peakMb = Math.max(state.peakMb, usedMb);
      if (usedMb <= memoryLimitMb) continue;
      state.ends += 1;
      state.isDown = true;
      record.say(
        `platform: ${edge.name} uses ${Math.round(usedMb)} MB, above ${memoryLimitMb}: killed`,
      );
      edge.signal('SIGKILL');
      void restart(edge, state);
    }
  }, 5);
  return { watched, stop: () => clearInterval(timer) };
};

await runCase(join(folder, 'record.txt'), { cores: 5, edges: 4 }, async (run) => {
  const { fleet, record, origins, hasTrouble, operator } = run;
  const handler = () => ({ status: 200, body: 'stored' });
  for (let number = 1; number <= 4; number += 1)
    origins.push(
      new Origin(fleet, { service: 'archive-app', number, handler, workMs, keepsBody: false }),
    );
  await operator.config(1, config);
  await Promise.all(origins.map((origin) => origin.start()));
  await fleet.untilReady();
  await sleep(3000);
  const platform = startPlatform(run);
  const targets = fleet.edges.slice(0, 2);
  const post = async (edge, body, options) => {
    const id = newTryId();
    const answer = await call(edge.http, {
      method: 'POST',
      path: `/edit/${id}`,
      headers: { Host: host, 'Try-Id': id, 'Time-Left': String(options.timeoutMs) },
      body,
      ...options,
    });
    const ran = origins.some((origin) => origin.runs.some((entry) => entry.id === id));
    return { ...answer, id, ran };
  };

  // Small corrections, one after the other on each kept connection.
  let isOpen = true;
  const counts = { answered: 0, notServed: 0 };
  const lost = [];
  const correct = async (edge) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    while (isOpen) {
      const sentAt = record.now;
      const { status, error, wasKept, id, ran } = await post(edge, 'a correction', {
        agent,
        timeoutMs: 2500,
      });
      if (status === 200) counts.answered += 1;
      else {
        counts.notServed += 1;
        record.add(
          `client: ${edge.name} POST ${id} sent at ${sentAt} -> ${status ?? error}; kept connection: ${wasKept}; ran: ${ran}`,
        );
        if (status === undefined && error !== 'timed out' && wasKept && ran)
          lost.push({ edge, id, sentAt });
        await sleep(200);
      }
    }
    agent.destroy();
  };
  const corrections = targets.flatMap((edge) =>
    Array.from({ length: keptConnections }, () => correct(edge)),
  );

  const recording = Buffer.alloc(uploadBytes, 'recording ');
  const upload = (edge) => post(edge, recording, { paceMs: uploadMs, timeoutMs: 8500 });
  for (let round = 1; round <= rounds; round += 1) {
    for (const edge of targets) {
      const answers = [];
      if (hasTrouble)
        answers.push(
          ...(await Promise.all(Array.from({ length: uploadsPerRound }, () => upload(edge)))),
        );
      else
        for (let number = 0; number < uploadsPerRound; number += 1)
          answers.push(await upload(edge));
      const stored = answers.filter(({ status }) => status === 200).length;
      record.say(
        `round ${round}, ${edge.name}: ${stored} of ${uploadsPerRound} uploads answered with 200; peak so far ${Math.round(platform.watched.get(edge).peakMb)} MB`,
      );
    }
    await sleep(1000);
    await fleet.untilReady();
    await sleep(1500);
  }
  isOpen = false;
  await Promise.all(corrections);
  platform.stop();
  for (const [edge, { ends }] of platform.watched)
    record.say(`${edge.name} ended ${ends} times by its memory`);
  record.say(
    `corrections: ${counts.answered} answered, ${counts.notServed} not; ran on a kept connection that was closed without an answer: ${lost.length}`,
  );
  return lost.length <= permittedLosses
    ? []
    : lost.map(
        ({ edge, id, sentAt }) =>
          `${edge.name} closed the kept connection of ${id}, sent at ${sentAt}, without an answer, after an origin had run it`,
      );
});
