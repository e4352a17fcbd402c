/** Deployment file of devfleet: the size of a fleet, its stub origins and the load sent to it. */

import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import * as v from 'valibot';
import { type Result, err, ok } from 'true-myth/result';
import { zoneName, serviceName } from '@switchwheel/types';

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1000));
const rangeSchema = v.tuple([v.number(), v.number()]);

/** Stub origins of one service: number, concurrency limit and request duration. */
const originGroupSchema = v.strictObject({
  service: serviceName,
  count: countSchema,
  slots: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** Minimum and mean processing time of a request in milliseconds; drawn from an exponential distribution. */
  workMs: rangeSchema,
  release: v.optional(v.string(), 'r1'),
});
/** Validated settings of the stub origins of one service. */
export type OriginGroup = v.InferOutput<typeof originGroupSchema>;

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
/** Class of client requests: its share of the load, target latency, paths and object sizes. */
export type Traffic = v.InferOutput<typeof trafficSchema>;

/** Schema of the deployment file. */
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
/** Validated contents of a deployment file. */
export type Deployment = v.InferOutput<typeof deploymentSchema>;

/** Deployment with the fleet configuration that is applied first. */
export interface DeploymentPlan {
  readonly deployment: Deployment;
  readonly configuration: unknown;
  readonly configurationFile: string;
}

/** Reads a deployment file and the configuration it names; returns one message for each error. */
export const readDeploymentPlan = (file: string): Result<DeploymentPlan, readonly string[]> => {
  try {
    const parsed = v.safeParse(deploymentSchema, JSON.parse(readFileSync(file, 'utf8')));
    if (!parsed.success)
      return err(
        parsed.issues.map((issue) => `${v.getDotPath(issue) ?? 'file'}: ${issue.message}`),
      );
    const path = join(dirname(file), parsed.output.description);
    const fleetConfiguration: unknown = JSON.parse(readFileSync(path, 'utf8'));
    return ok({
      deployment: parsed.output,
      configuration: fleetConfiguration,
      configurationFile: path,
    });
  } catch (error) {
    return err([`${file}: ${error instanceof Error ? error.message : 'cannot be read or parsed'}`]);
  }
};
