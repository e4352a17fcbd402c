/** A number from 0 up to 1 that a text always falls on (FNV-1a). */
export const hashToFraction = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at += 1)
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  return (hash >>> 0) / 2 ** 32;
};
