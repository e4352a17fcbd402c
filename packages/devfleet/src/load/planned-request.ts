/** Draws the requests of a kind of traffic: which object, of which size, with which body. */

import type { Traffic } from '../deployment/schema.js';
import { objectSize } from '../origin/content.js';

/** How many tags the objects of tagged traffic are spread over. */
const tagCount = 20;
/** Draws to this power make objects with low numbers far more frequent. */
const popularityExponent = 3;

/** A request before it is sent. */
export interface PlannedRequest {
  readonly traffic: Traffic;
  readonly id: string;
  readonly path: string;
  /** The query with its question mark, or nothing. */
  readonly query: string;
  /** The size in bytes of the object that is read, or of the text that is written. */
  readonly size: number;
  readonly body: Buffer | undefined;
}

/** Draws one request. */
export const planRequest = (traffic: Traffic, id: string): PlannedRequest => {
  const object = Math.floor(traffic.objects * Math.random() ** popularityExponent);
  const path = `${traffic.prefix}${object}`;
  const size = objectSize(path, traffic.bytes);
  if (traffic.unsafe) {
    const body = Buffer.from(JSON.stringify({ id, text: 'x'.repeat(size) }));
    return { traffic, id, path, query: '', size, body };
  }
  const tag = traffic.tagged ? `&tag=t${object % tagCount}` : '';
  return { traffic, id, path, query: `?size=${size}${tag}`, size, body: undefined };
};
