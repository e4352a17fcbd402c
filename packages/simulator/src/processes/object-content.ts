/** What an object's bytes are, as its origin makes them: the larger ones do not fit where whole results are held. */
export const objectContent = (
  path: string,
  revision: number,
  request: string,
  createdAt: number,
): Buffer => {
  const object = Number(/(\d+)$/.exec(path)?.[1] ?? 0);
  const head = `${revision} ${path} ${request} ${createdAt} `;
  const size = object % 5 === 4 ? 9000 : 80 + object * 20;
  return Buffer.from(head.padEnd(size, `${path}.${revision}.`));
};

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
  const [revision, object, request, stamp] = body.toString('latin1').split(' ');
  if (
    revision === undefined ||
    object === undefined ||
    request === undefined ||
    stamp === undefined
  )
    return undefined;
  return objectContent(object, Number(revision), request, Number(stamp)).equals(body)
    ? { revision: Number(revision), object, request, createdAt: Number(stamp) }
    : undefined;
};
