import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import * as v from 'valibot';
import { type Result, err, ok } from 'true-myth/result';
import { zoneName, serviceName } from '@switchwheel/types';

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1000));
const rangeSchema = v.tuple([v.number(), v.number()]);

/** What origins stand behind a service, and how they behave. */
const originGroupSchema = v.strictObject({
  service: serviceName,
  count: countSchema,
  slots: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** Milliseconds of work for one request: least and usual; a few take far longer. */
  workMs: rangeSchema,
  release: v.optional(v.string(), 'r1'),
});
export type OriginGroup = v.InferOutput<typeof originGroupSchema>;

/** One kind of request of the callers. */
const trafficSchema = v.strictObject({
  name: v.string(),
  class: v.string(),
  weight: v.number(),
  aimMs: v.number(),
  method: v.picklist(['GET', 'POST', 'PUT']),
  prefix: v.string(),
  objects: v.pipe(v.number(), v.integer(), v.minValue(1)),
  bytes: rangeSchema,
  unsafe: v.optional(v.boolean(), false),
  tagged: v.optional(v.boolean(), false),
});
export type Traffic = v.InferOutput<typeof trafficSchema>;

export const deploymentSchema = v.strictObject({
  name: v.string(),
  description: v.string(),
  areas: v.pipe(v.array(zoneName), v.minLength(1)),
  edges: countSchema,
  shields: countSchema,
  stores: countSchema,
  origins: v.array(originGroupSchema),
  perSecond: v.number(),
  traffic: v.pipe(v.array(trafficSchema), v.minLength(1)),
});
export type Deployment = v.InferOutput<typeof deploymentSchema>;

/** A deployment with the description that it starts with. */
export interface DeploymentPlan {
  readonly deployment: Deployment;
  readonly configuration: unknown;
  readonly configurationFile: string;
}

/** Reads a deployment's file and the description it names. */
export const readDeploymentPlan = (file: string): Result<DeploymentPlan, readonly string[]> => {
  try {
    const read = v.safeParse(deploymentSchema, JSON.parse(readFileSync(file, 'utf8')));
    if (!read.success)
      return err(read.issues.map((one) => `${v.getDotPath(one) ?? 'file'}: ${one.message}`));
    const path = join(dirname(file), read.output.description);
    const description: unknown = JSON.parse(readFileSync(path, 'utf8'));
    return ok({ deployment: read.output, configuration: description, configurationFile: path });
  } catch (problem) {
    return err([`${file}: ${problem instanceof Error ? problem.message : 'unreadable'}`]);
  }
};
