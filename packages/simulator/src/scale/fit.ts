/** A straight line through points, and how far they lie from it at most, as a part of the largest value. */
export interface Line {
  readonly slope: number;
  readonly base: number;
  readonly residual: number;
}

export const fitLine = (points: readonly (readonly [number, number])[]): Line => {
  const many = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / many;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / many;
  const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope =
    spread === 0 ? 0 : points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / spread;
  const base = meanY - slope * meanX;
  const top = Math.max(...points.map(([, y]) => Math.abs(y)));
  const far = Math.max(...points.map(([x, y]) => Math.abs(y - base - slope * x)));
  return { slope, base, residual: top === 0 ? 0 : far / top };
};
