/**
 * Content of objects. It names the object, revision and request, so that responses can be
 * verified.
 */

/** Body of an object as its origin creates it; every fifth object is too large to be buffered. */
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

/** Whether an object is streamed rather than buffered. */
export const isLargeObject = (path: string): boolean => objectContent(path, 0, '', 0).length > 4000;

/** Metadata of an object's body. */
export interface ObjectContent {
  readonly revision: number;
  readonly object: string;
  readonly request: string;
  /** Virtual time at which the origin created the body. */
  readonly createdAt: number;
}

/** Parses a body; undefined unless it is the complete content of an object. */
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
