/** Stand-in for a client: sends a request on a new connection and reports what came back. */

import { randomBytes } from 'node:crypto';
import { request } from 'node:http';

/** Sends one try to an edge; resolves once it is answered, broken off or given up. */
export const send = (edge, record, { method = 'GET', path, body, headers = {}, timeLeftMs }) =>
  new Promise((resolve) => {
    const id = randomBytes(8).toString('hex');
    const sentAt = Date.now();
    let isDone = false;
    const finish = (result) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      const answer = { id, method, path, edge: edge.name, sentAt, endedAt: Date.now(), ...result };
      const { body: content, ...logged } = answer;
      record.write('client', {
        ...logged,
        ...(content === undefined ? {} : { answer: content.toString('latin1', 0, 60).trim() }),
      });
      resolve(answer);
    };
    const outgoing = request(
      {
        ...edge.http,
        method,
        path,
        agent: false,
        headers: {
          Host: 'archive.example',
          'Try-Id': id,
          'Time-Left': timeLeftMs,
          ...(body === undefined ? {} : { 'Content-Length': body.length }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', (error) => finish({ error: error.message }));
        response.on('end', () =>
          finish({
            status: response.statusCode,
            seal: response.headers['edge-seal'],
            tryId: response.headers['try-id'],
            body: Buffer.concat(chunks),
            isWhole: response.complete,
          }),
        );
      },
    );
    const timer = setTimeout(() => {
      finish({ error: 'given up' });
      outgoing.destroy();
    }, timeLeftMs);
    outgoing.on('error', (error) => finish({ error: error.code ?? error.message }));
    outgoing.end(body);
  });
