/** Random requests of a kind of traffic: path, object size and body. */

import type { Traffic } from '../deployment/schema.js';
import { objectSize } from '../origin/content.js';

/** Number of tags over which the objects of tagged traffic are spread. */
const tagCount = 20;
/** Exponent applied to the uniform random draw; makes objects with low numbers more frequent. */
const popularityExponent = 3;

/** Request to be sent. */
export interface PlannedRequest {
  readonly traffic: Traffic;
  readonly id: string;
  readonly path: string;
  /** Query string with its question mark; may be empty. */
  readonly query: string;
  /** Size in bytes of the object that is read, or of the text that is written. */
  readonly size: number;
  readonly body: Buffer | undefined;
}

/** Creates a random request. */
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
