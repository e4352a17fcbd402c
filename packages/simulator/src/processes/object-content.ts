/**
 * The bytes of objects: they say which object, revision and request they are, so that results can
 * be judged.
 */

/** What an object's bytes are, as its origin makes them: the larger ones do not fit where whole results are held. */
export const objectContent = (
  path: string,
  revision: number,
  request: string,
  createdAt: number,
): Buffer => {
  const objectNumber = Number(/(\d+)$/.exec(path)?.[1] ?? 0);
  const prefix = `${revision} ${path} ${request} ${createdAt} `;
  const size = objectNumber % 5 === 4 ? 9000 : 80 + objectNumber * 20;
  return Buffer.from(prefix.padEnd(size, `${path}.${revision}.`));
};

/** Whether an object is streamed rather than held whole. */
export const isLargeObject = (path: string): boolean => objectContent(path, 0, '', 0).length > 4000;

/** What an origin's bytes say that they are. */
export interface ObjectContent {
  readonly revision: number;
  readonly object: string;
  readonly request: string;
  /** When the origin made it. */
  readonly createdAt: number;
}

/** Reads bytes; nothing if they are not all of an object. */
export const parseObjectContent = (body: Buffer): ObjectContent | undefined => {
  const [revision, object, request, createdAt] = body.toString('latin1').split(' ');
  if (
    revision === undefined ||
    object === undefined ||
    request === undefined ||
    createdAt === undefined
  )
    return undefined;
  return objectContent(object, Number(revision), request, Number(createdAt)).equals(body)
    ? { revision: Number(revision), object, request, createdAt: Number(createdAt) }
    : undefined;
};
